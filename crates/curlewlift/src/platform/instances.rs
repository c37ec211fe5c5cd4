//! Fetches the platform's list of backend servers.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::Request;
use axum::http::StatusCode;
use axum::http::header;
use curlewlift_core::event::Kind;
use curlewlift_core::gateway::ServerList;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::gateway;
use crate::gateway::Fetch;
use crate::gateway::FetchError;

use super::entries::Page;
use super::http;

/// How long the fetch of one page may take.
const PAGE_TIMEOUT: Duration = Duration::from_millis(800);

/// The largest page, in bytes.
const MAX_PAGE_BYTES: usize = 4 << 20;

/// The largest list, in bytes. With [`MAX_PAGES`] alone a faulty platform could send two hundred large pages.
const MAX_LIST_BYTES: usize = 16 << 20;

/// The maximum number of unreadable entries that are logged for one fetch.
const MAX_LOGGED_ENTRIES: usize = 20;

/// The maximum number of pages of a list: more than any fleet needs. It ends the fetch if the platform names no last
/// page.
const MAX_PAGES: usize = 200;

/// The entries that were unreadable at the last fetch, and why: each is logged once, not at every fetch.
type LoggedEntries = Rc<RefCell<BTreeSet<String>>>;

/// Returns a function that fetches the list from the platform at `platform`.
pub(super) fn fetch(platform: SocketAddr) -> Fetch {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let logged = LoggedEntries::default();
    Rc::new(move |page_interval| {
        let client = client.clone();
        let logged = Rc::clone(&logged);
        Box::pin(async move { fetch_all(&client, platform, &logged, page_interval).await })
    })
}

async fn fetch_all(
    client: &Client<HttpConnector, Body>,
    platform: SocketAddr,
    logged: &LoggedEntries,
    page_interval: Duration,
) -> Result<ServerList, FetchError> {
    let mut servers = Vec::new();
    let mut unreadable = BTreeSet::new();
    let mut page_query = String::new();
    let mut bytes = 0;
    for _ in 0..MAX_PAGES {
        let page =
            tokio::time::timeout(PAGE_TIMEOUT, fetch_page(client, platform, &page_query)).await;
        let (page, page_bytes) =
            page.map_err(|_| fetch_error("the platform did not respond in time"))??;
        bytes += page_bytes;
        if bytes > MAX_LIST_BYTES {
            return Err(fetch_error("the list is too large"));
        }
        servers.extend(page.servers);
        let entries = page.unreadable.iter();
        unreadable
            .extend(entries.map(|entry| format!("{page_query}#{}: {}", entry.index, entry.why)));
        let Some(next) = page.next else {
            log_unreadable(unreadable, logged);
            return Ok(ServerList::new(servers));
        };
        page_query = format!("?page_token={next}");
        tokio::time::sleep(page_interval).await;
    }
    Err(fetch_error("the list has too many pages"))
}

/// Fetches one page; returns it with its size in bytes.
async fn fetch_page(
    client: &Client<HttpConnector, Body>,
    platform: SocketAddr,
    page_query: &str,
) -> Result<(Page, usize), FetchError> {
    let request = Request::get(format!("http://{platform}/instances{page_query}"))
        .body(Body::empty())
        .map_err(|why| fetch_error(&why))?;
    let response = client
        .request(request)
        .await
        .map_err(|why| fetch_error(&why))?;
    if response.status() != StatusCode::OK {
        let missed = fetch_error(response.status());
        let retry_after = retry_after(response.headers());
        return Err(FetchError {
            retry_after,
            ..missed
        });
    }
    let body = Limited::new(response.into_body(), MAX_PAGE_BYTES)
        .collect()
        .await;
    let body = body.map_err(|why| fetch_error(&why))?.to_bytes();
    let page = Page::decode(&body).map_err(|why| fetch_error(&why))?;
    Ok((page, body.len()))
}

/// Counts the unreadable entries, and logs those that are new since the last fetch.
fn log_unreadable(unreadable: BTreeSet<String>, logged: &LoggedEntries) {
    let count = u64::try_from(unreadable.len()).unwrap_or(u64::MAX);
    metrics::counter!("curlewlift_list_unreadable").increment(count);
    let previous = logged.replace(unreadable);
    for entry in logged
        .borrow()
        .difference(&previous)
        .take(MAX_LOGGED_ENTRIES)
    {
        gateway::note(Kind::EntryUnreadable)
            .with("entry", entry.as_str())
            .write();
    }
}

/// For how long the platform wants no further request, if it says so.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    http::parse_seconds(text)
}

fn fetch_error(why: impl std::fmt::Display) -> FetchError {
    FetchError {
        why: why.to_string(),
        retry_after: None,
    }
}

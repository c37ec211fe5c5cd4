//! The platform's list of backend servers.

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

/// How long one page may take.
const PATIENCE: Duration = Duration::from_millis(800);

/// The largest page, in bytes.
const LARGEST: usize = 4 << 20;

/// The most unreadable entries that one fetch writes of.
const NOTED: usize = 20;

/// The most pages of a list: more than any fleet has, and an end where the platform names none.
const PAGES: usize = 200;

/// Which entries were unreadable at the last fetch, and why: each is written once, not at every fetch.
type Noted = Rc<RefCell<BTreeSet<String>>>;

/// What fetches the list from the platform at `platform`.
pub(super) fn fetch(platform: SocketAddr) -> Fetch {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let noted = Noted::default();
    Rc::new(move |apart| {
        let client = client.clone();
        let noted = Rc::clone(&noted);
        Box::pin(async move { all(&client, platform, &noted, apart).await })
    })
}

async fn all(
    client: &Client<HttpConnector, Body>,
    platform: SocketAddr,
    noted: &Noted,
    apart: Duration,
) -> Result<ServerList, FetchError> {
    let mut servers = Vec::new();
    let mut unreadable = BTreeSet::new();
    let mut from = String::new();
    for _ in 0..PAGES {
        let page = tokio::time::timeout(PATIENCE, page(client, platform, &from)).await;
        let page = page.map_err(|_| lost("no answer in time"))??;
        servers.extend(page.servers);
        let places = page.unreadable.iter();
        unreadable.extend(places.map(|entry| format!("{from}#{}: {}", entry.place, entry.why)));
        let Some(next) = page.next else {
            note_unreadable(unreadable, noted);
            return Ok(ServerList::new(servers));
        };
        from = format!("?page_token={next}");
        tokio::time::sleep(apart).await;
    }
    Err(lost("its pages have no end"))
}

async fn page(
    client: &Client<HttpConnector, Body>,
    platform: SocketAddr,
    from: &str,
) -> Result<Page, FetchError> {
    let request = Request::get(format!("http://{platform}/instances{from}"))
        .body(Body::empty())
        .map_err(|why| lost(&why))?;
    let answer = client.request(request).await.map_err(|why| lost(&why))?;
    if answer.status() != StatusCode::OK {
        let missed = lost(answer.status());
        let retry_after = again(answer.headers());
        return Err(FetchError {
            retry_after,
            ..missed
        });
    }
    let body = Limited::new(answer.into_body(), LARGEST).collect().await;
    let body = body.map_err(|why| lost(&why))?.to_bytes();
    Page::read(&body).map_err(|why| lost(&why))
}

/// Counts the entries that name no server, and writes those that are new.
fn note_unreadable(unreadable: BTreeSet<String>, noted: &Noted) {
    let count = u64::try_from(unreadable.len()).unwrap_or(u64::MAX);
    metrics::counter!("curlewlift_list_unreadable").increment(count);
    let former = noted.replace(unreadable);
    for entry in noted.borrow().difference(&former).take(NOTED) {
        gateway::note(Kind::EntryUnreadable)
            .with("entry", entry.as_str())
            .write();
    }
}

/// For how long the platform wants no further call, where it says so.
fn again(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    http::seconds(text)
}

fn lost(why: impl std::fmt::Display) -> FetchError {
    FetchError {
        why: why.to_string(),
        retry_after: None,
    }
}

//! The platform's list of backend servers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use axum::body::Body;
use axum::http::Request;
use axum::http::StatusCode;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::gateway::Listing;
use curlewlift_core::gateway::Server;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use crate::gateway::Fetch;

/// How long one page may take.
const PATIENCE: Duration = Duration::from_millis(800);

/// The largest page, in bytes.
const LARGEST: usize = 4 << 20;

/// The most pages of a list: more than any fleet has, and an end where the platform names none.
const PAGES: usize = 200;

/// A page of the list.
#[derive(Deserialize)]
struct Page {
    instances: Vec<Instance>,
    next_token: Option<String>,
}

/// A backend server on the list.
#[derive(Deserialize)]
struct Instance {
    /// The incarnation.
    id: String,
    service: String,
    address: SocketAddr,
    /// The data hall.
    zone: String,
    #[serde(default)]
    slots: u32,
    /// Whether it takes new work.
    state: String,
}

/// What fetches the list from the platform at `platform`.
pub(super) fn fetch(platform: SocketAddr) -> Fetch {
    let client = Client::builder(TokioExecutor::new()).build_http();
    Rc::new(move || {
        let client = client.clone();
        Box::pin(async move { all(&client, platform).await })
    })
}

async fn all(
    client: &Client<HttpConnector, Body>,
    platform: SocketAddr,
) -> Result<Listing, Refusal> {
    let mut servers = Vec::new();
    let mut from = String::new();
    for _ in 0..PAGES {
        let page = tokio::time::timeout(PATIENCE, page(client, platform, &from)).await;
        let page = page.map_err(|_| lost("no answer in time"))??;
        servers.extend(page.instances.into_iter().filter_map(server));
        match page.next_token {
            Some(next) => from = format!("?page_token={next}"),
            None => return Ok(Listing::new(servers)),
        }
    }
    Err(lost("its pages have no end"))
}

async fn page(
    client: &Client<HttpConnector, Body>,
    platform: SocketAddr,
    from: &str,
) -> Result<Page, Refusal> {
    let request = Request::get(format!("http://{platform}/instances{from}"))
        .body(Body::empty())
        .map_err(|why| lost(&why))?;
    let answer = client.request(request).await.map_err(|why| lost(&why))?;
    if answer.status() != StatusCode::OK {
        return Err(lost(answer.status()));
    }
    let body = Limited::new(answer.into_body(), LARGEST).collect().await;
    let body = body.map_err(|why| lost(&why))?.to_bytes();
    serde_json::from_slice(&body).map_err(|why| lost(&why))
}

fn server(instance: Instance) -> Option<Server> {
    let service = match instance.service.parse() {
        Ok(service) => service,
        Err(why) => {
            log::warn!("the platform's list: {}: {why}", instance.id);
            return None;
        }
    };
    Some(Server {
        incarnation: instance.id.into(),
        service,
        address: instance.address,
        hall: instance.zone.into(),
        slots: instance.slots,
        leaving: instance.state != "ready",
    })
}

fn lost(why: impl std::fmt::Display) -> Refusal {
    Refusal::new(Code::Unreachable, format!("the platform's list: {why}"))
}

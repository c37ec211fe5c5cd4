//! Polls the platform for its list of hosts, and proposes the commands that follow from it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use axum::body::Body;
use axum::http::Request;
use curlewlift_core::platform::List;
use curlewlift_core::platform::ListWatcher;
use curlewlift_core::platform::Order;
use curlewlift_core::state::Command;
use curlewlift_core::state::Record;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;

use super::replica::State;

/// The interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// How long a response may take.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum size of a list, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// The name of the operator that the commands are recorded under.
const OPERATOR: &str = "platform";

/// The first number of these commands: above any number that people choose or that comes from the clock.
const FIRST_COMMAND_NUMBER: u64 = 1 << 62;

/// Polls for as long as the process runs; only the leader polls and proposes commands.
pub(super) async fn watch(state: Rc<RefCell<State>>, platform: SocketAddr) {
    let executor = hyper_util::rt::TokioExecutor::new();
    let client: Client<HttpConnector, Body> = Client::builder(executor).build_http();
    let mut watch = ListWatcher::default();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        if state.borrow().ensure_leading().is_err() {
            // When this replica leads again, it starts from the list of that time.
            watch = ListWatcher::default();
            continue;
        }
        match tokio::time::timeout(POLL_TIMEOUT, fetch_list(&client, platform)).await {
            Ok(Some(list)) => propose_commands(&state, &mut watch, &list),
            _ => log::warn!("cannot get the list of hosts from the platform at {platform}"),
        }
    }
}

/// Fetches the list; none if the platform does not respond with a valid one.
async fn fetch_list(client: &Client<HttpConnector, Body>, platform: SocketAddr) -> Option<List> {
    let request = Request::get(format!("http://{platform}/hosts"))
        .body(Body::empty())
        .ok()?;
    let response = client.request(request).await.ok()?;
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES)
        .collect()
        .await
        .ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}

/// Proposes a command for each change between the list and the configuration.
fn propose_commands(state: &Rc<RefCell<State>>, watch: &mut ListWatcher, list: &List) {
    let orders = watch.update(list, state.borrow().machine.get_snapshot());
    for order in orders {
        let line = match order {
            Order::Drain(name) => format!("drain server {name}"),
            Order::Undrain(name) => format!("undrain server {name}"),
        };
        let mut state = state.borrow_mut();
        // Command numbers come from the last log index: it grows with each proposal, while the revision
        // grows only once a command is applied.
        let last_index = state.replica.last_index();
        let Ok(operator) = OPERATOR.parse() else {
            return;
        };
        let record = Record::Command(Command {
            operator,
            number: FIRST_COMMAND_NUMBER + last_index.0,
            line: line.clone(),
        });
        match state.propose(&record) {
            Ok(_) => log::info!("proposed command `{line}`"),
            Err(why) => log::warn!("cannot propose command `{line}`: {why}"),
        }
    }
}

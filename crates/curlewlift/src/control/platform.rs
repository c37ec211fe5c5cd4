//! Asks the platform for its list of hosts, and gives the commands that follow.

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

/// Between two questions.
const EVERY: Duration = Duration::from_secs(1);

/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(2);

/// The largest list, in bytes.
const LARGEST: usize = 4 << 20;

/// The operator in whose name the commands are given.
const OPERATOR: &str = "platform";

/// The first number of these commands: above any that people choose or that the time gives.
const FIRST_NUMBER: u64 = 1 << 62;

/// Asks for as long as the process lives; only the leader gives commands.
pub(super) async fn watch(state: Rc<RefCell<State>>, platform: SocketAddr) {
    let executor = hyper_util::rt::TokioExecutor::new();
    let client: Client<HttpConnector, Body> = Client::builder(executor).build_http();
    let mut watch = ListWatcher::default();
    loop {
        tokio::time::sleep(EVERY).await;
        if state.borrow().leads().is_err() {
            // The next time it leads it begins with what the list says then.
            watch = ListWatcher::default();
            continue;
        }
        match tokio::time::timeout(PATIENCE, ask(&client, platform)).await {
            Ok(Some(list)) => command(&state, &mut watch, &list),
            _ => log::warn!("the platform at {platform} gave no list"),
        }
    }
}

async fn ask(client: &Client<HttpConnector, Body>, platform: SocketAddr) -> Option<List> {
    let request = Request::get(format!("http://{platform}/hosts"))
        .body(Body::empty())
        .ok()?;
    let response = client.request(request).await.ok()?;
    let body = Limited::new(response.into_body(), LARGEST)
        .collect()
        .await
        .ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}

fn command(state: &Rc<RefCell<State>>, watch: &mut ListWatcher, list: &List) {
    let orders = watch.update(list, state.borrow().machine.get_snapshot());
    for order in orders {
        let line = match order {
            Order::Drain(name) => format!("drain server {name}"),
            Order::Undrain(name) => format!("undrain server {name}"),
        };
        let mut state = state.borrow_mut();
        // The log's end moves with each proposal; the revision only once one is applied.
        let place = state.replica.last_index();
        let Ok(operator) = OPERATOR.parse() else {
            return;
        };
        let record = Record::Command(Command {
            operator,
            number: FIRST_NUMBER + place.0,
            line: line.clone(),
        });
        match state.propose(&record) {
            Ok(_) => log::info!("the platform says: {line}"),
            Err(why) => log::warn!("the platform says: {line}: {why}"),
        }
    }
}

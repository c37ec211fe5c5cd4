//! Collects the events of several processes into one timeline.

use std::net::SocketAddr;
use std::time::Duration;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event;
use curlewlift_core::event::Filter;
use curlewlift_core::event::Line;
use futures::future::join_all;
use tokio::task::LocalSet;

use crate::rpc;
use crate::rpc::Method;
use crate::timeline::Timeline;

/// How long one process may take to respond.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Collects the events that match `filter` from the processes at `addresses`, in causal order.
///
/// Also returns the addresses of processes that did not respond.
///
/// Must not be called from inside an asynchronous runtime.
///
/// # Errors
///
/// [`Code::Internal`] if the runtime cannot be built.
pub fn collect(
    addresses: &[SocketAddr],
    filter: &Filter,
) -> Result<(Vec<Line>, Vec<SocketAddr>), Refusal> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|why| Refusal::new(Code::Internal, why.to_string()))?;
    Ok(LocalSet::new().block_on(&runtime, collect_from_all(addresses, filter)))
}

async fn collect_from_all(
    addresses: &[SocketAddr],
    filter: &Filter,
) -> (Vec<Line>, Vec<SocketAddr>) {
    let client = rpc::Client::new(Timeline::new("timeline"));
    let calls = addresses
        .iter()
        .map(|address| client.call(*address, Method::Events, filter, CALL_TIMEOUT));
    let responses: Vec<Result<Vec<Line>, Refusal>> = join_all(calls).await;
    let mut events_by_process = Vec::new();
    let mut unreachable = Vec::new();
    for (address, response) in addresses.iter().zip(responses) {
        match response {
            Ok(lines) => events_by_process.push(lines),
            Err(_) => unreachable.push(*address),
        }
    }
    (event::merge(events_by_process), unreachable)
}

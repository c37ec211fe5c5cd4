//! Collects the events of several processes into one time line.

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

/// How long one process may take.
const CALL: Duration = Duration::from_secs(3);

/// The events that pass `filter` at the processes at `addresses`, in causal order; and which of
/// the processes did not answer.
///
/// Must not be called from inside an asynchronous runtime.
///
/// # Errors
///
/// [`Code::Internal`] where no runtime can be made.
pub fn collect(
    addresses: &[SocketAddr],
    filter: &Filter,
) -> Result<(Vec<Line>, Vec<SocketAddr>), Refusal> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|why| Refusal::new(Code::Internal, why.to_string()))?;
    Ok(LocalSet::new().block_on(&runtime, ask_all(addresses, filter)))
}

async fn ask_all(addresses: &[SocketAddr], filter: &Filter) -> (Vec<Line>, Vec<SocketAddr>) {
    let client = rpc::Client::new(Timeline::new("timeline"));
    let calls = addresses
        .iter()
        .map(|address| client.call(*address, Method::Events, filter, CALL));
    let answers: Vec<Result<Vec<Line>, Refusal>> = join_all(calls).await;
    let mut parts = Vec::new();
    let mut silent = Vec::new();
    for (address, answer) in addresses.iter().zip(answers) {
        match answer {
            Ok(lines) => parts.push(lines),
            Err(_) => silent.push(*address),
        }
    }
    (event::merge(parts), silent)
}

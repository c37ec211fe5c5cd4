//! Tells the other gateways that this one stops.
//!
//! The hub is told first, as its replies reach all gateways at no further cost, and it knows which of them may not have heard.
//! Those, or all if no hub replies, this gateway tells itself.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use futures::StreamExt;

use crate::rpc::HubCall;
use crate::rpc::HubReply;
use crate::rpc::Method;
use crate::rpc::RenewCall;

use super::environment::Environment;
use super::log::Line;
use super::node::Node;

/// How much longer than two polls it may take until all gateways that poll the hub know: calls, and the delay of busy hosts.
const HUB_MARGIN: Duration = Duration::from_millis(200);

/// Interval at which it is checked whether all gateways know.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// How many gateways are told at the same time, which bounds the open connections.
const MAX_CONCURRENT_CALLS: usize = 32;

/// How long a gateway may take to acknowledge the notice.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause before the gateways that have not acknowledged the notice are told again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Tells the other gateways; returns once all of them know, or have left the membership.
pub(super) async fn send(node: Rc<Node>, environment: Rc<Environment>) {
    let started_at = node.now();
    let polls = node.hub.borrow().poll_timeout * 2;
    let told_by_hub = tokio::time::timeout(polls + HUB_MARGIN, wait_for_hub(&node)).await;
    let mut told = BTreeSet::new();
    loop {
        let unaware = unaware(&node, &told);
        if unaware.is_empty() {
            break;
        }
        told.extend(tell(&node, &environment, unaware).await);
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    Line::new(Kind::StopAnnounced)
        .with("hub", told_by_hub.is_ok())
        .with("gateways", told.len())
        .after(node.now().since(started_at))
        .write();
}

/// Waits until the hub has told all other gateways.
async fn wait_for_hub(node: &Node) {
    while !node
        .hub
        .borrow()
        .unaware
        .as_ref()
        .is_some_and(Vec::is_empty)
    {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// The addresses for callers of the gateways that may not know, without those that have been `told`.
fn unaware(node: &Node, told: &BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
    let since_reply = node.since_hub_reply();
    let is_hub_heard = since_reply.is_some_and(|since| since <= node.hub_timeout());
    let by_hub = node.hub.borrow().unaware.clone();
    let unaware = by_hub.filter(|_| is_hub_heard).unwrap_or_else(|| {
        let membership = node.membership.borrow();
        let others = membership.gateways.iter().map(|other| other.callers);
        others
            .filter(|other| *other != node.gateway.callers)
            .collect()
    });
    let unaware = unaware.into_iter();
    unaware.filter(|other| !told.contains(other)).collect()
}

/// Tells these gateways, and returns those that acknowledge the notice.
async fn tell(
    node: &Node,
    environment: &Environment,
    gateways: Vec<SocketAddr>,
) -> Vec<SocketAddr> {
    let calls = gateways.into_iter().map(|gateway| async move {
        let address = (environment.locate_gateway)(gateway);
        let is_acknowledged = announce(node, address).await;
        is_acknowledged.then_some(gateway)
    });
    futures::stream::iter(calls)
        .buffer_unordered(MAX_CONCURRENT_CALLS)
        .filter_map(std::future::ready)
        .collect()
        .await
}

/// Tells the gateway at `address`; returns whether it acknowledges the notice.
async fn announce(node: &Node, address: SocketAddr) -> bool {
    let call = RenewCall::Hub(HubCall::AnnounceStop(node.gateway.stop_notice()));
    let reply: Result<HubReply, Refusal> = node
        .rpc
        .call(address, Method::Renew, &call, CALL_TIMEOUT)
        .await;
    match reply {
        Ok(HubReply::Acknowledged) => true,
        Ok(_) => false,
        Err(why) => {
            log::debug!("announcing the stop to {address} failed: {why}");
            false
        }
    }
}

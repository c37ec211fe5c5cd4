//! What a request counts is drawn here or at a deputy while the hub gives no word.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::code::Refusal;
use curlewlift_core::quota::Charge;

use crate::rpc::HubCall;
use crate::rpc::HubReply;
use crate::rpc::Method;
use crate::rpc::RenewCall;

use super::node::Node;

/// How long a deputy may take: two ways between data halls, and a busy host's delay.
const CALL_TIMEOUT: Duration = Duration::from_millis(60);

/// Whether a request is let in without the hub's word: by this gateway, or by a deputy that holds a part of
/// what all may let in; if so it is counted there.
///
/// Load: no leader for a second, and a customer's requests at 200 gateways. A two-hundredth of what may be
/// let in is less than one request counts; an eighth is some.
pub(super) async fn acquire(node: &Rc<Node>, charge: &Charge) -> bool {
    if node.acquire_quota(charge) {
        return true;
    }
    let standbys = node.standbys.borrow().sample();
    for address in standbys {
        if acquire_at(node, address, charge).await {
            return true;
        }
    }
    false
}

async fn acquire_at(node: &Node, address: SocketAddr, charge: &Charge) -> bool {
    let call = RenewCall::Hub(HubCall::Draw(charge.clone()));
    let reply: Result<HubReply, Refusal> = node
        .rpc
        .call(address, Method::Renew, &call, CALL_TIMEOUT)
        .await;
    match reply {
        Ok(HubReply::Drawn(acquired)) => acquired,
        Ok(_) => false,
        Err(why) => {
            log::debug!("the deputy at {address} does not answer: {why}");
            false
        }
    }
}

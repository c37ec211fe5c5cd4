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
const CALL: Duration = Duration::from_millis(60);

/// Whether a request is let in without the hub's word: by this gateway, or by a deputy that holds a part of
/// what all may let in; if so it is counted there.
///
/// Load: no leader for a second, and a customer's requests at 200 gateways. A two-hundredth of what may be
/// let in is less than one request counts; an eighth is some.
pub(super) async fn draw(node: &Rc<Node>, charge: &Charge) -> bool {
    if node.draw(charge) {
        return true;
    }
    let some = node.deputies.borrow().some();
    for address in some {
        if ask(node, address, charge).await {
            return true;
        }
    }
    false
}

async fn ask(node: &Node, address: SocketAddr, charge: &Charge) -> bool {
    let call = RenewCall::Hub(HubCall::ChargeQuota(charge.clone()));
    let reply: Result<HubReply, Refusal> = node.rpc.call(address, Method::Renew, &call, CALL).await;
    match reply {
        Ok(HubReply::QuotaCharged(drawn)) => drawn,
        Ok(_) => false,
        Err(why) => {
            log::debug!("the deputy at {address} does not answer: {why}");
            false
        }
    }
}

//! Charges requests to customers' quotas here or at a standby while the hub can't be reached.

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

/// Timeout of a call to a standby: a round trip between data halls, and the delay of a busy host.
const CALL_TIMEOUT: Duration = Duration::from_millis(60);

/// Charges a request to the share of this gateway, or else of a standby; whether one of them sufficed.
///
/// Load pattern: there is no leader for a second, and a customer's requests arrive at 200 gateways. One
/// two-hundredth of what may be admitted is less than the cost of one request; an eighth, a standby's
/// share, is enough for some.
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
    let call = RenewCall::Hub(HubCall::ChargeQuota(charge.clone()));
    let reply: Result<HubReply, Refusal> = node
        .rpc
        .call(address, Method::Renew, &call, CALL_TIMEOUT)
        .await;
    match reply {
        Ok(HubReply::QuotaCharged(acquired)) => acquired,
        Ok(_) => false,
        Err(why) => {
            log::debug!("call to standby {address} failed: {why}");
            false
        }
    }
}

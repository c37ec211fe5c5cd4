//! Passes records of streams to other gateways while the hub can't be reached from here.

use std::time::Duration;

use curlewlift_core::code::Refusal;
use curlewlift_core::stream::Record;

use crate::rpc::HubCall;
use crate::rpc::HubReply;
use crate::rpc::Method;
use crate::rpc::RenewCall;

use super::node::Node;

/// Timeout of a call to a standby.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Passes the records that are to be reported to a standby, which may reach the hub.
pub(super) async fn relay_pending(node: &Node) {
    let records = node.streams.borrow_mut().take_pending(node.now());
    if records.is_empty() {
        return;
    }
    let is_relayed = relay(node, &records).await;
    let mut streams = node.streams.borrow_mut();
    if is_relayed {
        // The standby may be lost before it has reported them.
        streams.forget_hub();
    } else {
        streams.put_back(&records);
    }
}

/// Passes records to the first standby that accepts them; false if none does.
async fn relay(node: &Node, records: &[Record]) -> bool {
    let call = RenewCall::Hub(HubCall::RelayStreams(records.to_vec()));
    let standbys = node.standbys.borrow().sample();
    for address in standbys {
        let reply: Result<HubReply, Refusal> = node
            .rpc
            .call(address, Method::Renew, &call, CALL_TIMEOUT)
            .await;
        match reply {
            Ok(HubReply::Acknowledged) => return true,
            Ok(_) => {}
            Err(why) => log::debug!("standby {address} accepts no records of streams: {why}"),
        }
    }
    false
}

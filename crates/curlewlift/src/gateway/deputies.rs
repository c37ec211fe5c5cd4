//! What a request counts is drawn here or at a deputy while the hub gives no word.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::code::Refusal;
use curlewlift_core::gateway;
use curlewlift_core::quota::Charge;
use rand::seq::IndexedRandom;

use crate::rpc::HubCall;
use crate::rpc::HubReply;
use crate::rpc::Method;
use crate::rpc::RenewCall;

use super::daemon::Surroundings;
use super::node::Node;

/// How many deputies are asked for one request: some have gone, some have let in what they may.
const ASKED: usize = 3;

/// How long one of them may take: two ways between data halls, and a busy host's delay.
const CALL: Duration = Duration::from_millis(60);

/// The deputies, as a gateway knows them.
#[derive(Debug, Default)]
pub(super) struct Deputies {
    /// The version that the hub told.
    pub(super) version: u64,
    /// Where the others are reached.
    addresses: Vec<SocketAddr>,
}

impl Deputies {
    /// Those that the hub tells, but for the gateway itself.
    pub(super) fn told(told: &gateway::Deputies, node: &Node, around: &Surroundings) -> Self {
        let others = told.hosts.iter().filter(|host| **host != node.host);
        Self {
            version: told.version,
            addresses: others.filter_map(|host| (around.locate)(host)).collect(),
        }
    }

    /// Some of them, in any order.
    fn some(&self) -> Vec<SocketAddr> {
        let some = self.addresses.sample(&mut rand::rng(), ASKED);
        some.copied().collect()
    }
}

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
    let call = RenewCall::Hub(HubCall::Draw(charge.clone()));
    let reply: Result<HubReply, Refusal> = node.rpc.call(address, Method::Renew, &call, CALL).await;
    match reply {
        Ok(HubReply::Drawn(drawn)) => drawn,
        Ok(_) => false,
        Err(why) => {
            log::debug!("the deputy at {address} does not answer: {why}");
            false
        }
    }
}

//! A slot that another gateway has lent, and its return.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::code::Refusal;

use crate::rpc::HubCall;
use crate::rpc::HubReply;
use crate::rpc::Method;
use crate::rpc::RenewCall;

use super::node::Node;

/// Timeout of a call that returns a slot.
const RETURN_TIMEOUT: Duration = Duration::from_millis(300);

/// How often the return of a slot is tried.
const RETURN_ATTEMPTS: u32 = 3;

/// A slot that another gateway has lent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loan {
    pub(super) lender: SocketAddr,
    /// The lender's number of the slot.
    pub(super) number: u64,
}

impl Loan {
    /// Returns the slot to its lender.
    pub(super) fn end(self, node: &Rc<Node>) {
        let node = Rc::clone(node);
        tokio::task::spawn_local(async move {
            let call = RenewCall::Hub(HubCall::ReturnSlot(self.number));
            for _ in 0..RETURN_ATTEMPTS {
                let call = node
                    .rpc
                    .call(self.lender, Method::Renew, &call, RETURN_TIMEOUT);
                let reply: Result<HubReply, Refusal> = call.await;
                match reply {
                    Ok(_) => return,
                    Err(why) => log::debug!("return of a slot to {} failed: {why}", self.lender),
                }
            }
        });
    }
}

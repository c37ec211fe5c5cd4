//! What operators want of the leader: a routing table put in force, or read.

use std::time::Duration;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::evacuation;
use curlewlift_core::id;
use curlewlift_core::rollout::Order;
use curlewlift_core::rollout::Phase;
use curlewlift_core::rollout::Version;
use curlewlift_core::state::Publication;
use tokio::time::Instant;

use crate::rpc::HubCall;
use crate::rpc::HubReply;
use crate::rpc::Method;
use crate::rpc::RenewCall;

use super::node::Node;
use super::surroundings::Surroundings;
use super::sync;

/// How long a routing table may take to be put in force, or read.
const PUBLISH: Duration = Duration::from_millis(1_500);

/// How often another control replica is asked where the first does not lead.
const HOPS: usize = 4;

/// Puts a routing table in force.
///
/// # Errors
///
/// The leader's refusal; [`Code::Unreachable`] where what became of it is not known.
pub(crate) async fn publish(
    node: &Node,
    around: &Surroundings,
    publication: Publication,
) -> Result<(), Refusal> {
    match ask(node, around, HubCall::Publish(publication)).await? {
        HubReply::Published => Ok(()),
        _ => Err(no_leader()),
    }
}

/// The routing table in force, surely the newest.
///
/// # Errors
///
/// [`Code::Unreachable`] where nobody can be sure.
pub(crate) async fn read(node: &Node, around: &Surroundings) -> Result<Publication, Refusal> {
    match ask(node, around, HubCall::ReadTable).await? {
        HubReply::Table(publication) => Ok(publication),
        _ => Err(no_leader()),
    }
}

/// Gives an order to move a service to another version.
///
/// # Errors
///
/// The leader's refusal; [`Code::Unreachable`] where what became of it is not known.
pub(crate) async fn roll_out(
    node: &Node,
    around: &Surroundings,
    order: Order,
) -> Result<(), Refusal> {
    match ask(node, around, HubCall::StartRollout(order)).await? {
        HubReply::OrderAccepted => Ok(()),
        _ => Err(no_leader()),
    }
}

/// Gives an order to evacuate a data hall, or to end that.
///
/// # Errors
///
/// The leader's refusal; [`Code::Unreachable`] where what became of it is not known.
pub(crate) async fn evacuate(
    node: &Node,
    around: &Surroundings,
    order: evacuation::Order,
) -> Result<(), Refusal> {
    match ask(node, around, HubCall::Evacuate(order)).await? {
        HubReply::OrderAccepted => Ok(()),
        _ => Err(no_leader()),
    }
}

/// The target of the last roll-out of a service, and how far it has come, surely; none where none was ordered.
///
/// # Errors
///
/// [`Code::Unreachable`] where nobody can be sure.
pub(crate) async fn rollout_of(
    node: &Node,
    around: &Surroundings,
    service: id::Service,
) -> Result<Option<(Version, Phase)>, Refusal> {
    match ask(node, around, HubCall::ReadRollout(service)).await? {
        HubReply::Rollout(last) => Ok(last),
        _ => Err(no_leader()),
    }
}

/// Asks the leader, where it can be found within a few steps.
async fn ask(node: &Node, around: &Surroundings, call: HubCall) -> Result<HubReply, Refusal> {
    let call = RenewCall::Hub(call);
    let until = Instant::now() + PUBLISH;
    let mut named: Option<id::Host> = node.hub.borrow().leader.clone();
    let mut last = no_leader();
    for hop in 0..HOPS {
        let leader = named.take().and_then(|leader| (around.locate)(&leader));
        let Some(address) = leader.or_else(|| sync::elsewhere(node, around, hop)) else {
            continue;
        };
        let left = until.saturating_duration_since(Instant::now());
        let reply = node.rpc.call(address, Method::Renew, &call, left).await;
        match reply {
            Ok(HubReply::NotLeader { leader, control }) => {
                node.known.add(control);
                named = leader;
            }
            Ok(reply) => return Ok(reply),
            // Who is not there refuses at once; all orders may be given again.
            Err(why) => last = why,
        }
    }
    Err(last)
}

fn no_leader() -> Refusal {
    Refusal::new(Code::Unreachable, "no control replica surely leads")
}

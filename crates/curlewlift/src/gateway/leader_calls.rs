//! Operators' requests that are forwarded to the leader: routing tables, roll-outs, evacuations.

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

use super::environment::Environment;
use super::node::Node;
use super::sync;

/// Timeout of a request to the leader, over all attempts.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum number of control replicas to try until one leads.
const MAX_CALLS: usize = 4;

/// Publishes a routing table.
///
/// # Errors
///
/// The leader's refusal; [`Code::Unreachable`] if the outcome is unknown.
pub(crate) async fn publish(
    node: &Node,
    environment: &Environment,
    publication: Publication,
) -> Result<(), Refusal> {
    match call_leader(node, environment, HubCall::Publish(publication)).await? {
        HubReply::Published => Ok(()),
        _ => Err(no_leader()),
    }
}

/// Reads the newest routing table from the leader.
///
/// # Errors
///
/// [`Code::Unreachable`] if no replica is certain to lead.
pub(crate) async fn read(node: &Node, environment: &Environment) -> Result<Publication, Refusal> {
    match call_leader(node, environment, HubCall::ReadTable).await? {
        HubReply::Table(publication) => Ok(publication),
        _ => Err(no_leader()),
    }
}

/// Orders a roll-out of a service to another version.
///
/// # Errors
///
/// The leader's refusal; [`Code::Unreachable`] if the outcome is unknown.
pub(crate) async fn roll_out(
    node: &Node,
    environment: &Environment,
    order: Order,
) -> Result<(), Refusal> {
    match call_leader(node, environment, HubCall::StartRollout(order)).await? {
        HubReply::OrderAccepted => Ok(()),
        _ => Err(no_leader()),
    }
}

/// Orders the start or end of a data hall's evacuation.
///
/// # Errors
///
/// The leader's refusal; [`Code::Unreachable`] if the outcome is unknown.
pub(crate) async fn evacuate(
    node: &Node,
    environment: &Environment,
    order: evacuation::Order,
) -> Result<(), Refusal> {
    match call_leader(node, environment, HubCall::Evacuate(order)).await? {
        HubReply::OrderAccepted => Ok(()),
        _ => Err(no_leader()),
    }
}

/// Reads the target and phase of a service's last roll-out from the leader; none if none was ordered.
///
/// # Errors
///
/// [`Code::Unreachable`] if no replica is certain to lead.
pub(crate) async fn rollout_of(
    node: &Node,
    environment: &Environment,
    service: id::Service,
) -> Result<Option<(Version, Phase)>, Refusal> {
    match call_leader(node, environment, HubCall::ReadRollout(service)).await? {
        HubReply::Rollout(rollout) => Ok(rollout),
        _ => Err(no_leader()),
    }
}

/// Calls the leader, following the replicas' hints for at most [`MAX_CALLS`] calls.
async fn call_leader(
    node: &Node,
    environment: &Environment,
    call: HubCall,
) -> Result<HubReply, Refusal> {
    let call = RenewCall::Hub(call);
    let call_deadline = Instant::now() + CALL_TIMEOUT;
    let mut named_leader: Option<id::Host> = node.hub.borrow().leader.clone();
    let mut last_refusal = no_leader();
    for attempt in 0..MAX_CALLS {
        let leader = named_leader
            .take()
            .and_then(|leader| (environment.locate)(&leader));
        let Some(address) = leader.or_else(|| sync::candidate_address(node, environment, attempt))
        else {
            continue;
        };
        let remaining = call_deadline.saturating_duration_since(Instant::now());
        let reply = node
            .rpc
            .call(address, Method::Renew, &call, remaining)
            .await;
        match reply {
            Ok(HubReply::NotLeader { leader, control }) => {
                node.known_replicas.add(control);
                named_leader = leader;
            }
            Ok(reply) => return Ok(reply),
            // A host that runs no process refuses at once, and every order is safe to repeat.
            Err(why) => last_refusal = why,
        }
    }
    Err(last_refusal)
}

fn no_leader() -> Refusal {
    Refusal::new(Code::Unreachable, "no control replica is certain to lead")
}

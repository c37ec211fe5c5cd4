//! Operators' requests that are forwarded to the leader: routing tables, roll-outs, evacuations.

use std::net::SocketAddr;
use std::time::Duration;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::id;
use curlewlift_core::order::MAX_AGE;
use curlewlift_core::order::Order;
use curlewlift_core::order::not_carried_out;
use curlewlift_core::quarantine;
use curlewlift_core::rollout::Phase;
use curlewlift_core::rollout::Version;
use curlewlift_core::state::Publication;
use tokio::time::Instant;

use crate::rpc::HubCall;
use crate::rpc::HubReply;
use crate::rpc::Method;
use crate::rpc::RenewCall;

use super::deadline::Arrival;
use super::environment::Environment;
use super::node::Node;

/// Timeout of a request to the leader, over all attempts.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The same for the publication of a routing table, which is acknowledged once no gateway can take an older one for the
/// newest: the longest lease, and the commit.
const PUBLISH_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Interval at which it is checked whether another replica leads than the one that is called.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

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
    let call = HubCall::Publish(publication);
    match call_leader_within(node, environment, call, PUBLISH_TIMEOUT).await? {
        HubReply::Published => Ok(()),
        _ => Err(no_leader()),
    }
}

/// The newest routing table, and the leader that confirmed it.
pub(crate) struct NewestTable {
    pub(crate) publication: Publication,
    pub(crate) leader: id::Host,
    /// The rate of the leader's link in bytes per second; 0 if it is unknown.
    pub(crate) leader_link: f64,
}

/// Reads the newest routing table from the leader, or learns from it that the one in effect here is the newest.
///
/// # Errors
///
/// [`Code::Unreachable`] if no replica is certain to lead.
pub(crate) async fn read(node: &Node, environment: &Environment) -> Result<NewestTable, Refusal> {
    let in_effect = node.publication();
    let known = in_effect.version;
    match call_leader(node, environment, HubCall::ReadTable { known }).await? {
        HubReply::Table(read) => Ok(NewestTable {
            publication: read.publication.unwrap_or(in_effect),
            leader: read.leader,
            leader_link: read.link_bytes_per_s,
        }),
        _ => Err(no_leader()),
    }
}

/// Has the leader carry out an order that arrived at `arrival`, unless its operator may have given it up.
///
/// The operator's connection is watched while the leader's position is read: if its end was received behind the order,
/// this future is dropped before the order is sent.
///
/// # Errors
///
/// The leader's refusal; [`Code::NotCarriedOut`] if the order certainly was not and will not be carried out, and
/// [`Code::Unreachable`] if that is unknown.
pub(crate) async fn carry_out(
    node: &Node,
    environment: &Environment,
    order: Order,
    arrival: Arrival,
) -> Result<(), Refusal> {
    let mut result = carry_out_once(node, environment, &order, arrival).await;
    // An order whose outcome is unknown, as when the leader has changed, is sent again for as long as its age allows.
    while let Err(unknown) = &result
        && unknown.get_code() == Code::Unreachable
        && node.now().since(arrival.sent_after) < MAX_AGE
    {
        tokio::time::sleep(LEADER_CHECK_INTERVAL).await;
        // The refusal of a second copy says nothing of the first, which may have been accepted.
        match carry_out_once(node, environment, &order, arrival).await {
            Err(why) if why.get_code() != Code::Unreachable => break,
            next => result = next,
        }
    }
    result
}

/// Reads the leader's position, and sends the order there once.
async fn carry_out_once(
    node: &Node,
    environment: &Environment,
    order: &Order,
    arrival: Arrival,
) -> Result<(), Refusal> {
    let position = match call_leader(node, environment, HubCall::ReadOrderPosition).await {
        Ok(HubReply::OrderPosition(position)) => position,
        Ok(_) => return Err(not_carried_out(&no_leader())),
        Err(why) => return Err(not_carried_out(&why)),
    };
    let age = node.now().since(arrival.sent_after);
    let precondition = position.precondition(age)?;
    let call = HubCall::CarryOut(order.clone(), precondition);
    match call_leader(node, environment, call).await {
        Ok(HubReply::OrderAccepted) => Ok(()),
        Ok(_) => Err(unknown_outcome(&no_leader())),
        Err(why) if is_decision(why.get_code()) => Err(why),
        Err(why) => Err(unknown_outcome(&why)),
    }
}

/// Whether the leader has decided on an order by a refusal with this code.
fn is_decision(code: Code) -> bool {
    matches!(
        code,
        Code::Conflict | Code::Unknown | Code::UnknownService | Code::NoTable | Code::NotCarriedOut
    )
}

fn unknown_outcome(why: &Refusal) -> Refusal {
    let why = why.get_detail();
    let why = format!("it is not known whether the order is carried out: {why}; send it again");
    Refusal::new(Code::Unreachable, why)
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

/// Reads the list of requests and parts of prompts in quarantine from the leader.
///
/// # Errors
///
/// [`Code::Unreachable`] if no replica is certain to lead.
pub(crate) async fn quarantined(
    node: &Node,
    environment: &Environment,
) -> Result<quarantine::List, Refusal> {
    match call_leader(node, environment, HubCall::ReadQuarantine).await? {
        HubReply::Quarantine(list) => Ok(*list),
        _ => Err(no_leader()),
    }
}

/// Calls the leader within [`CALL_TIMEOUT`].
async fn call_leader(
    node: &Node,
    environment: &Environment,
    call: HubCall,
) -> Result<HubReply, Refusal> {
    call_leader_within(node, environment, call, CALL_TIMEOUT).await
}

/// Calls the leader, following the replicas' hints for at most [`MAX_CALLS`] calls.
async fn call_leader_within(
    node: &Node,
    environment: &Environment,
    call: HubCall,
    timeout: Duration,
) -> Result<HubReply, Refusal> {
    let call = RenewCall::Hub(call);
    let call_deadline = Instant::now() + timeout;
    let mut named_leader: Option<id::Host> = node.hub.borrow().leader.clone();
    let mut last_refusal = no_leader();
    for attempt in 0..MAX_CALLS {
        let leader = named_leader
            .take()
            .and_then(|leader| (environment.locate)(&leader));
        let Some(address) =
            leader.or_else(|| environment.candidate_address(&node.known_replicas, attempt))
        else {
            continue;
        };
        let remaining = call_deadline.saturating_duration_since(Instant::now());
        let reply = node.rpc.call(address, Method::Renew, &call, remaining);
        let reply = tokio::select! {
            reply = reply => reply,
            () = other_leader(node, environment, address) => Err(no_leader()),
        };
        match reply {
            Ok(HubReply::NotLeader {
                leader,
                control,
                newest_table,
            }) => {
                node.known_replicas.add(control);
                node.announce_table(newest_table, address);
                named_leader = leader;
            }
            Ok(reply) => return Ok(reply),
            // Another copy needs another precondition.
            Err(why) if matches!(call, RenewCall::Hub(HubCall::CarryOut(..))) => return Err(why),
            // A host that runs no process refuses at once, and every other call is safe to repeat.
            Err(why) => {
                last_refusal = why;
                let leader = node.hub.borrow().leader.clone();
                named_leader =
                    leader.filter(|leader| (environment.locate)(leader) != Some(address));
            }
        }
    }
    Err(last_refusal)
}

/// Waits until another replica than the one at `address` has become the leader: that one may be gone without a word.
async fn other_leader(node: &Node, environment: &Environment, address: SocketAddr) {
    let leader = || {
        let hub = node.hub.borrow();
        let leader = hub.leader.as_ref();
        leader.and_then(|leader| (environment.locate)(leader))
    };
    let former = leader();
    while leader().is_none_or(|leader| Some(leader) == former || leader == address) {
        tokio::time::sleep(LEADER_CHECK_INTERVAL).await;
    }
}

fn no_leader() -> Refusal {
    Refusal::new(Code::Unreachable, "no control replica is certain to lead")
}

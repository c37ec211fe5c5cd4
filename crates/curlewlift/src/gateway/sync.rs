//! Asks the hub, over and over: what is new, and what is left.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::gateway::Question;
use curlewlift_core::gateway::Reply;

use crate::rpc::HubCall;
use crate::rpc::HubReply;
use crate::rpc::Method;
use crate::rpc::RenewCall;

use super::daemon::Surroundings;
use super::log::Line;
use super::node::Hub;
use super::node::Node;

/// How long an answer may take: the hub's own wait, and a busy host's delay.
const CALL: Duration = Duration::from_millis(600);

/// Between an answer and the next question.
const PAUSE: Duration = Duration::from_millis(15);

/// After a control replica that does not lead or does not answer.
const NEXT: Duration = Duration::from_millis(60);

/// After how long the hub counts as lost, for the log.
const LOST: Duration = Duration::from_millis(1_500);

/// Asks for as long as the process lives.
pub(super) async fn keep(node: Rc<Node>, around: Rc<Surroundings>) {
    let mut place = 0;
    let mut known = false;
    loop {
        let asked = once(&node, &around, &mut place).await;
        let silent = node.hub_silence().is_none_or(|silence| silence > LOST);
        if known == silent {
            known = !silent;
            let kind = if silent {
                Kind::HubLost
            } else {
                Kind::HubFound
            };
            let leader = node.hub.borrow().leader.clone();
            let line = Line::new(kind).with("leader", leader.map(|leader| leader.to_string()));
            line.write();
        }
        let pause = if asked { PAUSE } else { NEXT };
        // A gateway that stops, or that has fetched another list, says so at once.
        let _ = tokio::time::timeout(pause, node.changed.notified()).await;
    }
}

/// One question; true where the leader answered it.
async fn once(node: &Rc<Node>, around: &Surroundings, place: &mut usize) -> bool {
    let Some(address) = address(node, around, *place) else {
        *place += 1;
        return false;
    };
    let question = question(node);
    let call = RenewCall::Hub(HubCall::Ask(Box::new(question)));
    let reply: Result<HubReply, Refusal> = node.rpc.call(address, Method::Renew, &call, CALL).await;
    match reply {
        Ok(HubReply::News(reply)) => {
            take(node, around, address, *reply);
            true
        }
        Ok(HubReply::Elsewhere(leader)) => {
            let same = leader == node.hub.borrow().leader;
            if same || leader.is_none() {
                *place += 1;
            }
            node.hub.borrow_mut().leader = if same { None } else { leader };
            false
        }
        Ok(_) => false,
        Err(why) => {
            log::debug!("no word from {address}: {why}");
            node.hub.borrow_mut().leader = None;
            *place += 1;
            false
        }
    }
}

/// Where to ask: at the leader, or in turn at each that may know it.
pub(super) fn address(node: &Node, around: &Surroundings, place: usize) -> Option<SocketAddr> {
    let hub = node.hub.borrow();
    if let Some(leader) = &hub.leader
        && let Some(address) = (around.locate)(leader)
    {
        return Some(address);
    }
    let mut all: Vec<_> = hub
        .control
        .iter()
        .filter_map(|host| (around.locate)(host))
        .collect();
    for seed in (around.seeds)() {
        if !all.contains(&seed) {
            all.push(seed);
        }
    }
    all.get(place % all.len().max(1)).copied()
}

fn question(node: &Node) -> Question {
    let hub = node.hub.borrow();
    let listing = node.listing.borrow();
    let fetched = hub.fetches && listing.version != hub.listing;
    let mut share = node.share.borrow_mut();
    Question {
        host: node.host.clone(),
        incarnation: node.incarnation,
        gateway: node.gateway.clone(),
        ready: node.is_ready(),
        table: node.table().map_or(0, |table| table.get_number()),
        listing: listing.version,
        roll: node.roll.borrow().version,
        mark: hub.mark,
        loads: node.loads(),
        spent: share.report(),
        spent_within: spent_within(node, &hub),
        levels: share.levels(),
        fetched: fetched.then(|| listing.clone()),
    }
}

/// The time since the hub's last word, or since the start.
fn spent_within(node: &Node, hub: &Hub) -> Duration {
    node.now().since(hub.heard.unwrap_or_default())
}

fn take(node: &Node, around: &Surroundings, address: SocketAddr, reply: Reply) {
    if let Some((number, document)) = reply.table {
        match (around.decode)(&document) {
            Ok(table) => node.adopt_table(table),
            Err(why) => log::error!("table {number} cannot be read: {why}"),
        }
    }
    {
        let mut hub = node.hub.borrow_mut();
        hub.heard = Some(node.now());
        hub.address = Some(address);
        hub.leader = reply.leader;
        hub.control = reply.control;
        hub.count = reply.count;
        hub.fetches = reply.fetches;
        hub.listing = reply.held;
    }
    // The one that fetches the list has it first hand.
    if let Some(listing) = reply.listing
        && !reply.fetches
    {
        node.adopt_listing(listing);
    }
    if let Some(roll) = reply.roll {
        *node.roll.borrow_mut() = roll;
    }
    let count = reply.count;
    node.share
        .borrow_mut()
        .heard(&reply.levels, count, node.now());
    node.hear(&reply.loads);
}

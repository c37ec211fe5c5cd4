//! Asks the hub, over and over: what is new, and what is left.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::clock;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::gateway::LeaderSearch;
use curlewlift_core::gateway::Poll;
use curlewlift_core::gateway::Reply;
use rand::RngExt;

use crate::rpc::HubCall;
use crate::rpc::HubReply;
use crate::rpc::Method;
use crate::rpc::RenewCall;

use super::deputies::Deputies;
use super::log::Line;
use super::node::Node;
use super::surroundings::Surroundings;
use super::tables;

/// How long an answer may take beyond the hub's own wait: a busy host's delay.
const CALL: Duration = Duration::from_millis(350);

/// How long the hub waits before it says how long it does.
const WAIT: Duration = Duration::from_millis(250);

/// Between an answer and the next question.
const PAUSE: Duration = Duration::from_millis(15);

/// After a control replica that does not lead, where it names one that does.
const NEXT: Duration = Duration::from_millis(60);

/// After how long the hub counts as lost, for the log.
const LOST: Duration = Duration::from_millis(1_500);

/// Asks for as long as the process lives.
pub(super) async fn keep(node: Rc<Node>, around: Rc<Surroundings>) {
    let began = node.now();
    let mut place = 0;
    let mut known = None;
    let mut search = LeaderSearch::default();
    loop {
        let asked = once(&node, &around, &mut place).await;
        let hears = hears(&node, began);
        if hears.is_some() && hears != known {
            known = hears;
            tell_of_hub(&node, &asked);
        }
        let pause = if asked.is_ok() {
            search.found();
            PAUSE
        } else {
            search.missed();
            next(&node, search)
        };
        // A gateway that stops, or that has fetched another list, says so at once.
        let _ = tokio::time::timeout(pause, node.changed.notified()).await;
    }
}

/// The pause before the next replica is asked.
fn next(node: &Node, search: LeaderSearch) -> Duration {
    if node.hub.borrow().leader.is_some() {
        return NEXT;
    }
    let gateways = node.roll.borrow().gateways.len();
    search.pause(gateways, rand::rng().random())
}

/// Whether the hub is heard; none where that is not known yet, as the gateway has only begun.
fn hears(node: &Node, began: clock::Instant) -> Option<bool> {
    match node.hub_silence() {
        Some(silence) => Some(silence <= LOST),
        None => (node.now().since(began) > LOST).then_some(false),
    }
}

/// Writes that the hub is heard, or no more; what the last question came to says where it was sought.
fn tell_of_hub(node: &Node, asked: &Result<(), String>) {
    let kind = match asked {
        Ok(()) => Kind::HubFound,
        Err(_) => Kind::HubLost,
    };
    let leader = node.hub.borrow().leader.clone();
    let known = node.known.get();
    let known: Vec<_> = known.iter().map(ToString::to_string).collect();
    Line::new(kind)
        .with("leader", leader.map(|leader| leader.to_string()))
        .with("known", known)
        .with("why", asked.as_ref().err().cloned())
        .write();
}

/// One question; whether the leader answered it, else why not.
async fn once(node: &Rc<Node>, around: &Surroundings, place: &mut usize) -> Result<(), String> {
    let Some(address) = address(node, around, *place) else {
        *place += 1;
        return Err("nobody is known whom to ask".to_owned());
    };
    let asked = node.now();
    let most = CALL + node.hub.borrow().wait.max(WAIT);
    let question = question(node);
    let (_, told) = node.quarantine.borrow().get_evidence().unacknowledged();
    let told_limits = node.limits.borrow().get_last_number();
    let call = RenewCall::Hub(HubCall::Ask(Box::new(question)));
    let reply: Result<HubReply, Refusal> = node.rpc.call(address, Method::Renew, &call, most).await;
    match reply {
        // What lay here while the host was suspended is not the hub's word of now.
        Ok(_) if node.now().since(asked) > most => {
            Err(format!("the answer of {address} came too late"))
        }
        Ok(HubReply::News(reply)) => {
            node.quarantine.borrow_mut().acknowledge(reply.hub_id, told);
            let mut limits = node.limits.borrow_mut();
            let changes =
                limits.apply_reply(reply.hub_id, told_limits, reply.limits.as_ref(), node.now());
            drop(limits);
            node.limit(changes.into_iter());
            take(node, around, address, asked, *reply);
            Ok(())
        }
        Ok(HubReply::Elsewhere { leader, control }) => {
            node.known.add(control);
            let why = format!("{address} does not lead");
            let same = leader == node.hub.borrow().leader;
            if same || leader.is_none() {
                *place += 1;
            }
            node.hub.borrow_mut().leader = if same { None } else { leader };
            Err(why)
        }
        Ok(_) => Err(format!("{address} gave another answer")),
        Err(why) => {
            log::debug!("no word from {address}: {why}");
            node.hub.borrow_mut().leader = None;
            *place += 1;
            Err(why.get_detail().to_owned())
        }
    }
}

/// Where to ask: at the leader, or in turn at each that may know it: the replica in this process, the
/// hosts that are known to keep one, and those that the settings name, which may not.
fn address(node: &Node, around: &Surroundings, place: usize) -> Option<SocketAddr> {
    let hub = node.hub.borrow();
    let leader = hub.leader.as_ref();
    let leader = leader.and_then(|leader| (around.locate)(leader));
    leader.or_else(|| elsewhere(node, around, place))
}

/// Where to ask in turn, whoever is said to lead.
pub(super) fn elsewhere(node: &Node, around: &Surroundings, place: usize) -> Option<SocketAddr> {
    let known = node.known.get();
    let known = known.iter().filter_map(|host| (around.locate)(host));
    let mut all: Vec<_> = around.beside.into_iter().chain(known).collect();
    for seed in (around.seeds)() {
        if !all.contains(&seed) {
            all.push(seed);
        }
    }
    all.get(place % all.len().max(1)).copied()
}

fn question(node: &Node) -> Poll {
    let hub = node.hub.borrow();
    let holding = node.holding.borrow();
    let quarantine = node.quarantine.borrow();
    let limits = node.limits.borrow();
    let fetched = holding.for_hub(hub.listing).filter(|_| hub.fetches);
    Poll {
        host: node.host.clone(),
        gateway: node.gateway.clone(),
        ready: node.is_ready(),
        known_table: node.newest_table(),
        wants_whole_list: holding.stores_whole(),
        server_list_version: holding.get_version(),
        membership_version: node.roll.borrow().version,
        standbys_version: node.deputies.borrow().version,
        policy_version: node.policy.borrow().version,
        last_grant: hub.mark,
        loads: node.loads(),
        last_reply: hub.got,
        quarantine_version: quarantine.get_version(),
        observations: quarantine.get_evidence().unacknowledged().0,
        limit_reports: limits.pending_reports(),
        limits_version: limits.get_table_version(),
        fetched_list: fetched.cloned(),
    }
}

/// Takes up the answer to a question that was sent at `asked`.
fn take(
    node: &Node,
    around: &Surroundings,
    address: SocketAddr,
    asked: clock::Instant,
    reply: Reply,
) {
    if let Some(publication) = reply.table {
        tables::adopt(node, around, &publication);
    }
    {
        let mut hub = node.hub.borrow_mut();
        hub.heard = Some(node.now());
        hub.address = Some(address);
        hub.leader = reply.leader;
        hub.got = reply.number;
        hub.wait = reply.poll_timeout;
        hub.newest = hub.newest.max(reply.newest_table);
        hub.fetches = reply.fetches_list;
        hub.listing = reply.server_list_version;
    }
    if let Some(news) = reply.quarantine {
        node.quarantine.borrow_mut().apply_update(&news);
    }
    // Before the list: what is new on it may be of a version that gets nothing by this gateway's own choice.
    if let Some(policy) = reply.policy {
        node.adopt_policy(policy);
    }
    // The one that fetches the list has it first hand.
    if !reply.fetches_list {
        node.adopt_list(|holding| {
            holding.drop_fetched();
            if let Some(listing) = reply.server_list {
                holding.apply(listing);
            }
        });
    }
    if let Some(news) = reply.membership {
        node.adopt_roll(news);
    }
    node.known.set(reply.control_hosts);
    if let Some(told) = reply.standbys {
        *node.deputies.borrow_mut() = Deputies::told(&told, &node.host, &around.locate);
    }
    node.part.borrow_mut().set(reply.retry_share, asked);
    node.reserve
        .borrow_mut()
        .set_share(reply.admission_share, asked, node.now());
    node.newer.notify_one();
    node.hear(&reply.other_loads);
}

//! Polls the hub for updates and for this gateway's shares of quotas and retries.

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

use super::environment::Environment;
use super::log::Line;
use super::node::Node;
use super::standbys::Standbys;
use super::tables;

/// Time that a reply may take beyond the time that the hub holds the poll: the delay of a busy host.
const REPLY_MARGIN: Duration = Duration::from_millis(350);

/// Minimum time that the hub is expected to hold a poll, also before its first reply states the actual time.
const MIN_POLL_TIMEOUT: Duration = Duration::from_millis(250);

/// Pause between a reply and the next poll.
const POLL_INTERVAL: Duration = Duration::from_millis(15);

/// Pause after a poll to a replica that does not lead, if it named the leader.
const REDIRECT_DELAY: Duration = Duration::from_millis(60);

/// Time since the last reply after which the log states that the hub is lost.
const HUB_LOST_AFTER: Duration = Duration::from_millis(1_500);

/// Polls the hub for as long as the process lives.
pub(super) async fn poll_hub(node: Rc<Node>, environment: Rc<Environment>) {
    let started_at = node.now();
    let mut candidate = 0;
    let mut logged_reachable = None;
    let mut search = LeaderSearch::default();
    let mut stop = node.stop.subscribe();
    loop {
        let polled = tokio::select! {
            polled = poll_once(&node, &environment, &mut candidate) => polled,
            // The hub holds a poll until there is an update; a new poll tells it at once that this gateway stops.
            Ok(()) = stop.changed() => continue,
        };
        let reachable = is_hub_reachable(&node, started_at);
        if reachable.is_some() && reachable != logged_reachable {
            logged_reachable = reachable;
            log_hub_change(&node, &polled);
        }
        let pause = if polled.is_ok() {
            search.found();
            POLL_INTERVAL
        } else {
            search.missed();
            retry_delay(&node, search)
        };
        // A gateway that has fetched a new list notifies the hub at once.
        let _ = tokio::time::timeout(pause, node.poll_wakeup.notified()).await;
    }
}

/// Pause before the next replica is polled.
fn retry_delay(node: &Node, search: LeaderSearch) -> Duration {
    if node.hub.borrow().leader.is_some() {
        return REDIRECT_DELAY;
    }
    let gateways = node.membership.borrow().gateways.len();
    search.pause(gateways, rand::rng().random())
}

/// Whether the hub is reachable; none if that is not known yet because the gateway has just started.
fn is_hub_reachable(node: &Node, started_at: clock::Instant) -> Option<bool> {
    match node.since_hub_reply() {
        Some(since_reply) => Some(since_reply <= HUB_LOST_AFTER),
        None => (node.now().since(started_at) > HUB_LOST_AFTER).then_some(false),
    }
}

/// Logs that the hub was found or lost, with the outcome of the last poll and the replicas known.
fn log_hub_change(node: &Node, polled: &Result<(), String>) {
    let kind = match polled {
        Ok(()) => Kind::HubFound,
        Err(_) => Kind::HubLost,
    };
    let leader = node.hub.borrow().leader.clone();
    let known = node.known_replicas.get();
    let known: Vec<_> = known.iter().map(ToString::to_string).collect();
    Line::new(kind)
        .with("leader", leader.map(|leader| leader.to_string()))
        .with("known", known)
        .with("why", polled.as_ref().err().cloned())
        .write();
}

/// Polls once; an error says why the leader did not reply.
async fn poll_once(
    node: &Rc<Node>,
    environment: &Environment,
    candidate: &mut usize,
) -> Result<(), String> {
    let Some(address) = poll_address(node, environment, *candidate) else {
        *candidate += 1;
        return Err("no control replica is known to poll".to_owned());
    };
    let sent_at = node.now();
    let timeout = REPLY_MARGIN + node.hub.borrow().poll_timeout.max(MIN_POLL_TIMEOUT);
    let poll = build_poll(node);
    let was_ready = poll.ready;
    let last_observation = node.quarantine.borrow().get_evidence().get_last_number();
    let last_limit_report = node.limits.borrow().get_last_number();
    let call = RenewCall::Hub(HubCall::Poll(Box::new(poll)));
    let reply: Result<HubReply, Refusal> =
        node.rpc.call(address, Method::Renew, &call, timeout).await;
    match reply {
        // A reply that arrived while this host was suspended is out of date.
        Ok(_) if node.now().since(sent_at) > timeout => {
            Err(format!("the reply from {address} came too late"))
        }
        Ok(HubReply::Update(reply)) => {
            node.quarantine
                .borrow_mut()
                .acknowledge(reply.hub_id, last_observation);
            let mut limits = node.limits.borrow_mut();
            let changes = limits.apply_reply(
                reply.hub_id,
                last_limit_report,
                reply.limits.as_ref(),
                node.now(),
            );
            drop(limits);
            node.apply_limits(changes.into_iter());
            apply_reply(node, environment, address, (sent_at, was_ready), *reply);
            Ok(())
        }
        Ok(HubReply::NotLeader {
            leader,
            control,
            newest_table,
        }) => {
            node.known_replicas.add(control);
            node.announce_table(newest_table, address);
            let why = format!("{address} does not lead");
            let is_same_leader = leader == node.hub.borrow().leader;
            if is_same_leader || leader.is_none() {
                *candidate += 1;
            }
            node.hub.borrow_mut().leader = if is_same_leader { None } else { leader };
            Err(why)
        }
        Ok(_) => Err(format!("{address} sent an unexpected reply")),
        Err(why) => {
            log::debug!("poll of {address} failed: {why}");
            node.hub.borrow_mut().leader = None;
            *candidate += 1;
            Err(why.get_detail().to_owned())
        }
    }
}

/// Address to poll: the leader's if it is known, else the next candidate's.
fn poll_address(node: &Node, environment: &Environment, candidate: usize) -> Option<SocketAddr> {
    let hub = node.hub.borrow();
    let leader = hub.leader.as_ref();
    let leader = leader.and_then(|leader| (environment.locate)(leader));
    leader.or_else(|| environment.candidate_address(&node.known_replicas, candidate))
}

fn build_poll(node: &Node) -> Poll {
    let hub = node.hub.borrow();
    let server_lists = node.server_lists.borrow();
    let quarantine = node.quarantine.borrow();
    let limits = node.limits.borrow();
    let fetched_list = server_lists
        .for_hub(hub.server_list_version)
        .filter(|_| hub.fetches_list);
    Poll {
        host: node.host.clone(),
        gateway: node.advertised(),
        ready: node.is_ready(),
        known_table: node.newest_table(),
        table_in_effect: node.table_version(),
        needs_lease: !node.has_table_lease(),
        wants_whole_list: server_lists.stores_whole(),
        server_list_version: server_lists.get_version(),
        membership_version: node.membership.borrow().version,
        standbys_version: node.standbys.borrow().version,
        slot_lenders_version: node.slot_lenders.borrow().version,
        policy_version: node.policy.borrow().version,
        last_grant: hub.last_grant,
        loads: node.loads(),
        last_reply: hub.last_reply,
        given_up_unused: hub.given_up_unused,
        quarantine_version: quarantine.get_version(),
        observations: quarantine.get_evidence().unacknowledged(node.now()).0,
        limit_reports: node.limit_reports(),
        limits_version: limits.get_table_version(),
        stream_versions: node.stream_versions.borrow().number(),
        fetched_list: fetched_list.cloned(),
        platform_silence: if hub.fetches_list {
            node.now().since(hub.platform_answered_at)
        } else {
            Duration::ZERO
        },
    }
}

/// Applies the reply to a poll that was sent at `sent_at` and said whether this gateway `was_ready`.
fn apply_reply(
    node: &Node,
    environment: &Environment,
    address: SocketAddr,
    (sent_at, was_ready): (clock::Instant, bool),
    reply: Reply,
) {
    node.announce_table(reply.newest_table, address);
    node.confirm_table(reply.newest_table, sent_at, reply.table_lease);
    if let Some(publication) = reply.table {
        tables::apply_small(node, environment, &publication);
    }
    {
        let mut hub = node.hub.borrow_mut();
        hub.last_reply_at = Some(node.now());
        hub.address = Some(address);
        hub.leader = reply.leader;
        hub.last_reply = reply.number;
        hub.poll_timeout = reply.poll_timeout;
        if reply.fetches_list && !hub.fetches_list {
            hub.platform_answered_at = node.now();
        }
        hub.fetches_list = reply.fetches_list;
        hub.server_list_version = reply.server_list_version;
        hub.rejection_limits = reply.rejection_limits;
        hub.unaware = (!was_ready).then_some(reply.unaware);
    }
    node.stream_versions
        .borrow_mut()
        .apply(reply.stream_versions, sent_at);
    {
        let mut streams = node.streams.borrow_mut();
        streams.set_hub(reply.hub_id);
        streams.keep(&reply.stream_copies, node.now());
        if streams.has_pending() {
            node.report_wakeup.notify_one();
        }
    }
    if let Some(update) = reply.quarantine {
        let mut quarantine = node.quarantine.borrow_mut();
        if quarantine.apply_update(&update, node.now()) {
            node.report_wakeup.notify_one();
        }
    }
    // Before the list: a new server on it may have a version that this gateway must not use without the hub.
    if let Some(policy) = reply.policy {
        node.apply_policy(policy);
    }
    // The gateway that fetches the list for all already has it.
    if !reply.fetches_list {
        node.update_server_list(|server_lists| {
            server_lists.drop_fetched();
            if let Some(update) = reply.server_list {
                server_lists.apply(update);
            }
        });
    }
    if let Some(update) = reply.membership {
        node.apply_membership(update);
    }
    node.known_replicas.set(reply.control_hosts);
    if let Some(standbys) = reply.standbys {
        *node.standbys.borrow_mut() =
            Standbys::from_hub(&standbys, &node.host, &environment.locate);
    }
    if let Some(lenders) = reply.slot_lenders {
        *node.slot_lenders.borrow_mut() =
            Standbys::from_hub(&lenders, &node.host, &environment.locate);
    }
    node.set_slot_share(reply.slot_share, sent_at);
    let given_up_unused = node.set_retry_share(&reply.retry_share, sent_at);
    node.hub.borrow_mut().given_up_unused = given_up_unused;
    node.local_limiter
        .borrow_mut()
        .set_share(reply.admission_share, sent_at, node.now());
    node.fetch_wakeup.notify_one();
    node.update_other_loads(&reply.other_loads);
}

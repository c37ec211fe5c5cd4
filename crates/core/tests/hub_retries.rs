//! Retries that hubs grant: out of blocks that are drawn through the log, over all hubs together.

mod support;

use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::GatewayShare;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::RETRY_GRANT_LIFETIME;
use curlewlift_core::gateway::RetryBlocks;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::SlotDecision;
use curlewlift_core::gateway::Ticket;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::state::Publication;

use support::incarnations;
use support::messages;
use support::requests::at;
use support::retries::ALLOWANCE;

/// Four fifths of the minimum number of retries, in whole blocks.
const HUB_RETRIES: usize = 48;

/// A hub that starts at `now` with the blocks in the log.
fn start_hub(blocks: &RetryBlocks, now: Instant) -> Hub {
    let tuning = Tuning {
        retries: Some(ALLOWANCE),
        ..Tuning::default()
    };
    let mut hub = Hub::new(tuning, now);
    hub.set_server_list(Arc::new(ServerList::new(vec![incarnations::incarnation(
        "s", 0,
    )])));
    hub.apply_retry_blocks(blocks);
    hub
}

/// Asks for a retry.
fn request_retry(hub: &mut Hub, now: Instant) -> Option<Ticket> {
    let host = "g".parse().expect("a valid name");
    let mut slot_request = messages::slot_request(&host);
    slot_request.needs_retry = true;
    match hub.request_slot(slot_request, now) {
        SlotDecision::Queued(ticket, _) => Some(ticket),
        _ => None,
    }
}

/// Commits what the hub proposes, and returns how many of `count` retries it grants.
fn grant_retries(hub: &mut Hub, blocks: &mut RetryBlocks, count: usize, now: Instant) -> usize {
    let mut granted = 0;
    for _ in 0..count {
        if let Some(proposed) = hub.propose_retry_blocks(now) {
            *blocks = proposed;
            hub.apply_retry_blocks(blocks);
        }
        granted += usize::from(request_retry(hub, now).is_some());
    }
    granted
}

/// A retry may be sent for as long as its grant lives, and counts for a window from then on.
#[test]
fn counts_until_sent() {
    let mut blocks = RetryBlocks::default();
    let mut hub = start_hub(&blocks, at(0));
    let used_until = at(0) + ALLOWANCE.window + RETRY_GRANT_LIFETIME;
    let just_before = used_until - Duration::from_millis(1);
    assert_eq!(
        grant_retries(&mut hub, &mut blocks, 100, at(0)),
        HUB_RETRIES
    );
    assert_eq!(grant_retries(&mut hub, &mut blocks, 100, just_before), 0);
    assert_eq!(
        grant_retries(&mut hub, &mut blocks, 100, used_until),
        HUB_RETRIES
    );
}

/// A new hub counts what its predecessor has drawn, and grants the rest.
#[test]
fn next_hub_counts() {
    let mut blocks = RetryBlocks::default();
    let mut former = start_hub(&blocks, at(0));
    let granted = grant_retries(&mut former, &mut blocks, 20, at(0));
    assert_eq!(granted, 20);
    let mut next = start_hub(&blocks, at(500));
    let more = grant_retries(&mut next, &mut blocks, 100, at(500));
    assert!(more > 0);
    assert!(granted + more <= HUB_RETRIES, "{granted} and {more}");
    let later = at(500) + ALLOWANCE.window + RETRY_GRANT_LIFETIME;
    let all = grant_retries(&mut next, &mut blocks, 100, later);
    assert_eq!(all, HUB_RETRIES);
}

/// Blocks are usable once they are committed, and no longer usable once their return is proposed.
#[test]
fn committed_first() {
    let mut blocks = RetryBlocks::default();
    let mut hub = start_hub(&blocks, at(0));
    let drawn = hub.propose_retry_blocks(at(0)).expect("blocks are drawn");
    assert!(request_retry(&mut hub, at(0)).is_none());
    hub.apply_retry_blocks(&drawn);
    assert!(request_retry(&mut hub, at(0)).is_some());
    grant_retries(&mut hub, &mut blocks, 100, at(0));
    let later = at(0) + ALLOWANCE.window + RETRY_GRANT_LIFETIME;
    let service = "chat".parse().expect("a valid name");
    let before = hub.retries_left(&service, later);
    assert!(hub.propose_retry_blocks(later).is_some());
    assert!(hub.retries_left(&service, later) < before);
}

/// The retry of a request that leaves the queue is granted again.
#[test]
fn released_retry() {
    let mut blocks = RetryBlocks::default();
    let mut hub = start_hub(&blocks, at(0));
    grant_retries(&mut hub, &mut blocks, HUB_RETRIES - 1, at(0));
    let ticket = request_retry(&mut hub, at(10)).expect("one is left");
    assert!(request_retry(&mut hub, at(10)).is_none());
    hub.cancel(&ticket, at(20));
    assert!(request_retry(&mut hub, at(20)).is_some());
    assert!(request_retry(&mut hub, at(20)).is_none());
}

/// What the hub announces to a gateway that polls now.
fn announced_share(hub: &mut Hub, now: Instant) -> GatewayShare {
    let poll = messages::poll(&"g".parse().expect("a valid name"));
    hub.on_poll(&poll, now);
    hub.reply(&poll, &Publication::default(), now).retry_share
}

/// Only the first process that is told of one of the first shares may use it at once. Another process on the same host
/// may find it used, and so may every process under another leader.
#[test]
fn share_never_held() {
    let mut first = start_hub(&RetryBlocks::default(), at(0));
    let before = announced_share(&mut first, at(0));
    assert!(before.fraction <= 0.0 && !before.never_held);
    let shares = first.propose_retry_shares(at(400));
    let shares = shares.expect("the gateway gets a share");
    first.apply_retry_shares(&shares, at(410));
    assert!(announced_share(&mut first, at(420)).never_held);
    assert!(!announced_share(&mut first, at(430)).never_held);
    let mut next = start_hub(&RetryBlocks::default(), at(500));
    next.apply_retry_shares(&shares, at(500));
    let share = announced_share(&mut next, at(510));
    assert!(share.fraction > 0.0 && !share.never_held);
}

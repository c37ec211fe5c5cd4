//! Retries that hubs grant: out of blocks that are drawn through the log, over all hubs together.

mod support;

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::GatewayShare;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::Poll;
use curlewlift_core::gateway::RETRY_GRANT_LIFETIME;
use curlewlift_core::gateway::RetryBlocks;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::SlotDecision;
use curlewlift_core::gateway::Ticket;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::pool::RetryBudget;
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

/// A gateway's process with its retry budget.
struct Gateway {
    poll: Poll,
    budget: RetryBudget,
}

impl Gateway {
    fn new(host: &str, process: u64) -> Self {
        let mut poll = messages::poll(&host.parse().expect("a valid name"));
        poll.limit_reports.incarnation = process;
        let budget = RetryBudget::new(ALLOWANCE);
        Self { poll, budget }
    }

    /// Polls the hub and applies its reply, which is returned.
    fn update(&mut self, hub: &mut Hub, now: Instant) -> GatewayShare {
        hub.on_poll(&self.poll, now);
        let reply = hub.reply(&self.poll, &Publication::default(), now);
        self.poll.last_reply = reply.number;
        self.poll.given_up_unused = self.budget.set_share(&reply.retry_share, now, now);
        reply.retry_share
    }
}

/// A hub, and gateways that start one after the other.
struct Site {
    hub: Hub,
    gateways: Vec<Gateway>,
    now: u64,
}

impl Site {
    /// Two gateways hold all shares after 0.85 s.
    fn new() -> Self {
        let gateways = vec![Gateway::new("a", 1), Gateway::new("b", 1)];
        let hub = start_hub(&RetryBlocks::default(), at(0));
        let mut site = Self {
            hub,
            gateways,
            now: 0,
        };
        site.run_until(850);
        site
    }

    /// Lets all gateways poll every 50 ms. Each acknowledgement reaches the hub twice.
    fn run_until(&mut self, until: u64) {
        while self.now < until {
            self.now += 50;
            let now = at(self.now);
            for gateway in &mut self.gateways {
                self.hub.on_poll(&gateway.poll, now);
                gateway.update(&mut self.hub, now);
            }
            commit_shares(&mut self.hub, now);
        }
    }

    /// Lets another gateway start, and runs until it holds a share.
    fn join(&mut self, host: &str) {
        self.gateways.push(Gateway::new(host, 1));
        self.run_until(self.now + 1_100);
    }

    /// How many of `count` retries each of `gateways` may send now, in total.
    fn use_retries(&mut self, gateways: Range<usize>, count: usize) -> usize {
        let now = at(self.now);
        let gateways = self.gateways[gateways].iter_mut();
        let used = gateways.map(|gateway| {
            let acquired = (0..count).filter(|_| gateway.budget.try_acquire(now));
            acquired.count()
        });
        used.sum()
    }
}

/// Commits the shares that the hub proposes.
fn commit_shares(hub: &mut Hub, now: Instant) {
    if let Some(shares) = hub.propose_retry_shares(now) {
        hub.apply_retry_shares(&shares, now);
    }
}

/// A gateway that starts late may use its share at once if the others state that they gave it up unused. Otherwise it
/// could not retry for a window without the hub.
#[test]
fn unused_share_passed() {
    let mut site = Site::new();
    site.join("c");
    // A third of a fifth of the minimum.
    assert_eq!(site.use_retries(2..3, 100), 4);
    assert_eq!(site.use_retries(0..2, 100), 8);
}

/// What former holders have used counts for the next one, also if only one of them has used something and
/// acknowledgements arrive twice.
#[test]
fn used_share_passed() {
    for used in 1..=6 {
        for users in [0..1, 0..2, 1..2] {
            let mut site = Site::new();
            let before = site.use_retries(users.clone(), used);
            site.join("c");
            let total = before + site.use_retries(0..3, 100);
            assert!(total <= 12, "{used} used before by {users:?}: {total}");
        }
    }
}

/// What is given up unused is available once: a share that contains a part of it and counts as used leaves nothing of
/// it for the next gateway.
#[test]
fn unused_part_once() {
    let mut site = Site::new();
    site.use_retries(0..2, 5);
    site.join("c");
    site.run_until(14_000);
    let mut total = site.use_retries(0..3, 100);
    site.join("d");
    site.join("e");
    total += site.use_retries(0..5, 100);
    assert!(total <= 12, "{total}");
}

/// The reply that announces an unused share may be lost, and the process is told again; another process on the same
/// host is not, as the first one may have used the share.
#[test]
fn announced_again() {
    let mut hub = start_hub(&RetryBlocks::default(), at(0));
    let [mut first, mut second] = [1, 2].map(|process| Gateway::new("a", process));
    first.update(&mut hub, at(0));
    commit_shares(&mut hub, at(400));
    assert!(first.update(&mut hub, at(410)).never_held);
    assert!(first.update(&mut hub, at(420)).never_held);
    assert!(!second.update(&mut hub, at(430)).never_held);
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

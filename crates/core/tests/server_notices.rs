//! Every gateway respects what servers announce about themselves (backoffs and draining), whoever chose the server, and
//! across new server lists, hubs and incarnations. Backoffs are bounded in length, and remembered servers in number.

mod support;

use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::Server;
use curlewlift_core::pool::Notice;
use curlewlift_core::pool::Notices;

use support::backoff::Flaw;
use support::backoff::SERVERS;
use support::backoff::SLOTS_PER_SERVER;
use support::backoff::World;
use support::incarnations::incarnation;

/// How many requests of one gateway may arrive at a server during a backoff, apart from those already in flight.
const MAX_REQUESTS_IN_BACKOFF: u32 = 2;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn at(seconds: u64) -> Instant {
    Instant::default() + s(seconds)
}

fn record(notices: &mut Notices, server: &Server, notice: Notice, now: Instant) -> Option<Notice> {
    notices.record(&server.incarnation, &server.name, notice, now)
}

/// A simulation of some seconds with a disturbance every 100 to 600 ms.
fn history(seed: u64, flaw: Option<Flaw>) -> World {
    let mut world = World::new(seed, flaw);
    for round in 0..40 {
        world.inject_fault();
        let time = Duration::from_millis(100 + (seed + round) % 6 * 100);
        world.run_for(time, 1 + seed % 8);
    }
    world
}

#[test]
fn any_history() {
    let mut backoffs = 0;
    for seed in 0..histories(40) {
        let world = history(seed, None);
        assert!(
            world.max_in_backoff <= MAX_REQUESTS_IN_BACKOFF,
            "seed {seed}: {}",
            world.max_in_backoff
        );
        assert_eq!(world.sent_after_draining, 0, "seed {seed}");
        assert!(world.served > 0, "seed {seed}");
        backoffs += world.backoffs;
    }
    assert!(backoffs > 1_000, "{backoffs}");
}

/// The simulation detects each flaw that is put into the gateways on purpose.
#[test]
fn flaws_found() {
    for flaw in [
        Flaw::NoCheckAtGrant,
        Flaw::NoCheckBeforeSending,
        Flaw::StateInServerList,
    ] {
        let is_found = |seed| {
            let world = history(seed, Some(flaw));
            world.max_in_backoff > MAX_REQUESTS_IN_BACKOFF || world.sent_after_draining > 0
        };
        assert!((0..histories(200)).any(is_found), "{flaw:?}");
    }
}

/// All servers ask for a backoff at the same time, and still have no room when it ends. The queued requests must not
/// all reach them at once only to be rejected again: when all free slots were used, seven or eight arrived within
/// 0.1 s.
#[test]
fn no_burst_after_backoff() {
    for seed in 0..20 {
        let mut world = World::new(seed, None);
        world.run_for(s(2), 3);
        world.set_backoff(SERVERS, Some(3_000), 100);
        world.run_for(Duration::from_millis(2_600), 3);
        let backoff_end = world.now;
        world.run_for(Duration::from_millis(1_500), 3);
        let burst = world.max_arrivals(backoff_end, Duration::from_millis(100));
        assert!(burst < SLOTS_PER_SERVER, "seed {seed}: {burst}");
    }
}

/// The number of seeds: the value of `HISTORIES` if set, else `default`.
fn histories(default: u64) -> u64 {
    let variable = std::env::var("HISTORIES");
    variable.map_or(default, |value| value.parse().expect("valid number"))
}

#[test]
fn longest_backoff_applies() {
    let mut notices = Notices::default();
    let server = incarnation("i-1", 1);
    record(&mut notices, &server, Notice::Backoff(s(5)), at(0));
    let extension = record(&mut notices, &server, Notice::Backoff(s(1)), at(1));
    assert_eq!(extension, None, "the longer backoff stays in effect");
    assert!(notices.excludes("i-1/1", at(4)));
    let extension = record(&mut notices, &server, Notice::Backoff(s(3)), at(4));
    assert_eq!(extension, Some(Notice::Backoff(s(2))));
    assert!(!notices.excludes("i-1/1", at(7)));
}

/// A backoff of a year, or of the longest representable time, is cut to ten minutes. A time that cannot be parsed has
/// no effect, and is reported only once.
#[test]
fn invalid_backoff_times() {
    let mut notices = Notices::default();
    let server = incarnation("i-1", 1);
    let unreadable = Notice::Unreadable("soon".to_owned());
    assert!(record(&mut notices, &server, unreadable.clone(), at(0)).is_some());
    assert_eq!(
        record(&mut notices, &server, unreadable, at(1)),
        None,
        "reported once"
    );
    assert!(!notices.excludes("i-1/1", at(0)));
    for length in [s(31_536_000), Duration::MAX] {
        record(&mut notices, &server, Notice::Backoff(length), at(0));
    }
    assert!(notices.excludes("i-1/1", at(599)));
    assert!(!notices.excludes("i-1/1", at(600)));
}

/// A new incarnation only inherits notices that were recent enough to have come from it.
#[test]
fn next_incarnation() {
    let mut notices = Notices::default();
    record(
        &mut notices,
        &incarnation("i-1", 1),
        Notice::Backoff(s(60)),
        at(0),
    );
    record(
        &mut notices,
        &incarnation("i-2", 1),
        Notice::Backoff(s(60)),
        at(9),
    );
    record(
        &mut notices,
        &incarnation("i-3", 1),
        Notice::Draining,
        at(9),
    );
    for name in ["i-1", "i-2", "i-3"] {
        notices.inherit(&incarnation(name, 2), at(10));
    }
    assert!(!notices.excludes("i-1/2", at(10)));
    assert!(notices.excludes("i-2/2", at(60)));
    // Draining is inherited for a short time only: if this incarnation drains, its next answer says so again.
    assert!(notices.excludes("i-3/2", at(10)));
    assert!(!notices.excludes("i-3/2", at(14)));
    assert!(notices.excludes("i-3/1", at(14)));
}

/// The number of remembered servers is bounded; the oldest are removed first.
#[test]
fn servers_bounded() {
    let mut notices = Notices::default();
    for number in 0..5_000 {
        let server = incarnation(&format!("i-{number}"), 1);
        record(&mut notices, &server, Notice::Draining, at(number));
    }
    let remembered = (0..5_000).filter(|number| notices.is_draining(&format!("i-{number}/1")));
    assert_eq!(
        remembered.collect::<Vec<_>>(),
        (5_000 - 1_024..5_000).collect::<Vec<_>>()
    );
    let incarnation: Arc<str> = "i-4999/1".into();
    assert!(notices.excludes(&incarnation, at(1_000_000)));
}

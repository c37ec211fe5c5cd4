//! Rate limits that servers announce, in random histories of gateways, hubs and servers.
//!
//! A server must get no more requests than it announces over all gateways together, whoever grants the slots and
//! whichever hub leads. The limit is used in full, and lifted only by newer responses.

mod support;

use std::time::Duration;

use support::limits::Flaw;
use support::limits::SERVERS;
use support::limits::World;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// How many random histories to run: the value of `HISTORIES`, or `default_count`.
fn histories(default_count: u64) -> u64 {
    let count = std::env::var("HISTORIES");
    count.map_or(default_count, |count| count.parse().expect("a number"))
}

/// Runs a history of half a minute with a disturbance every 100 to 1,200 ms.
fn history(seed: u64, flaw: Option<Flaw>) -> World {
    let mut world = World::new(seed, flaw);
    world.run_for(s(1), 1);
    for round in 0..50 {
        world.inject_fault();
        let time = Duration::from_millis(100 + (seed * 7 + round) % 12 * 100);
        world.run_for(time, 1 + seed % 4);
    }
    world
}

#[test]
fn any_history() {
    let mut limited = 0;
    for seed in 0..histories(40) {
        let world = history(seed, None);
        assert!(
            world.max_excess <= 0.0,
            "seed {seed}: limit exceeded by {}",
            world.max_excess
        );
        assert_eq!(world.sent_uncharged, 0, "seed {seed}: sent without a token");
        assert!(world.served > 0, "seed {seed}: nothing was served");
        limited += world.sent_to_limited;
    }
    assert!(
        limited > 1_000,
        "only {limited} requests to limited servers"
    );
}

/// If a part of the design is left out, some history detects it.
#[test]
fn flaws_detected() {
    for flaw in [
        Flaw::NoCheckAtGrant,
        Flaw::NoCheckBeforeSending,
        Flaw::IgnoresLimitsWithoutHub,
        Flaw::AnyResponseLiftsLimit,
    ] {
        let is_detected = |seed| {
            let world = history(seed, Some(flaw));
            world.max_excess > 0.0 || world.sent_uncharged > 0
        };
        assert!(
            (0..histories(200)).any(is_detected),
            "not detected: {flaw:?}"
        );
    }
}

/// While requests wait, servers get all that they accept, and no more.
#[test]
fn used_in_full() {
    for seed in 0..10 {
        let mut world = World::new(seed, None);
        world.run_for(s(1), 1);
        world.set_limits(SERVERS, Some("3"));
        world.run_for(s(5), 1);
        let before = world.sent_to_limited;
        world.run_for(s(20), 1);
        let served = f64::from(world.sent_to_limited - before);
        let accepted = 3.0 * 9.0 * 20.0;
        assert!(
            served >= 0.95 * accepted,
            "seed {seed}: {served} of {accepted} requests"
        );
        assert!(
            served <= 1.05 * accepted,
            "seed {seed}: {served} of {accepted} requests"
        );
    }
}

/// A limit that servers no longer announce is lifted everywhere within seconds, even the lowest one.
#[test]
fn lifted_soon() {
    for (seed, limit) in ["0", "0.2", "1", "3"].into_iter().enumerate() {
        let mut world = World::new(seed as u64, None);
        world.run_for(s(1), 1);
        world.set_limits(SERVERS, Some(limit));
        world.run_for(s(6), 1);
        assert!(world.is_limited_anywhere(), "limit {limit} is unknown");
        world.set_limits(SERVERS, None);
        world.run_for(s(12), 1);
        assert!(!world.is_limited_anywhere(), "limit {limit} stays");
    }
}

/// Requests that no server can accept in time are rejected early instead of waiting until they expire.
#[test]
fn rejected_early() {
    let mut world = World::new(1, None);
    world.run_for(s(1), 1);
    world.set_limits(SERVERS, Some("0.2"));
    world.run_for(s(5), 1);
    assert!(world.refused > 0);
}

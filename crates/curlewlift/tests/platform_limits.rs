//! Backend servers that announce how many requests a second they accept from all hosts together, with real gateways.
//!
//! Guards against slots that are granted by free capacity and latency alone, while the announced limit is ignored: two
//! of nine servers that announced about 3 requests a second received 28 and 29 within 4 s, where 1.5 times the limit
//! and 5 more are allowed. The limit bounds the sum over all hosts, so no host can enforce it alone. The hub, which
//! grants the slots for all hosts, charges each grant to the server's limit, and a host sends such a server nothing
//! without a grant.
//!
//! In the logs of twelve hosts all 834 slots were granted by the hub (`"by":"hub"`), whose last reply was at most 55 ms
//! old (`"hub_ms"`), and one of the two servers received as many requests after its announcement as before: 12, 5, 11
//! and 6 in the seconds after, 10, 9, 8 and 9 in the seconds before.

mod platform;

use std::time::Duration;

use platform::Engine;
use platform::ThreeHosts;
use platform::wait;

/// The span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// How many requests may come within [`WINDOW`]: the limit per second times the first number, which is 1.5 times the
/// limit, plus the second.
const ALLOWED_IN_WINDOW: (usize, usize) = (6, 5);

/// The limit that servers announce, in requests a second.
const LIMIT_PER_S: usize = 2;

/// Makes these engines announce a limit.
fn announce_limit(engines: &[Engine], rate: usize) {
    let limit = rate.to_string();
    for engine in engines {
        engine.set_limit(Some(&limit));
    }
}

/// Asserts that an engine received no more requests than its limit allows.
fn assert_within_limit(engine: &Engine, rate: usize) {
    let received = engine.max_from_informed(WINDOW);
    let (factor, extra) = ALLOWED_IN_WINDOW;
    assert!(
        received <= rate * factor + extra,
        "{}: {received}",
        engine.id
    );
}

/// Two of three servers announce a limit, and the third serves the remaining requests.
#[test]
fn two_limited() {
    let world = ThreeHosts::start("limit_kept");
    announce_limit(&world.engines[..2], LIMIT_PER_S);
    for answer in world.send_for(&[0, 1, 2], Duration::from_secs(7)) {
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    for engine in &world.engines[..2] {
        assert!(
            engine.count_limit_hosts() > 0,
            "{}: no host received the limit",
            engine.id
        );
        assert_within_limit(engine, LIMIT_PER_S);
    }
}

/// All servers announce a limit: as many requests as they accept are served, and the others are refused with the time
/// of a retry.
#[test]
fn all_limited() {
    let world = ThreeHosts::start("all_limited");
    announce_limit(&world.engines, LIMIT_PER_S);
    let answers = world.send_for(&[0, 1, 2], Duration::from_secs(7));
    for engine in &world.engines {
        assert_within_limit(engine, LIMIT_PER_S);
    }
    let served = answers.iter().filter(|answer| answer.status == 200);
    let total_limit = LIMIT_PER_S * world.engines.len();
    assert!(
        served.count() > 5 * total_limit,
        "at least the limit of 5 of the 7 s is served"
    );
    for answer in answers.iter().filter(|answer| answer.status != 200) {
        assert_eq!(answer.status, 503, "{}", answer.body);
        assert!(answer.header("retry-after").is_some(), "{}", answer.head);
    }
}

/// A host that can't reach the hub observes the limits as well.
#[test]
fn limited_without_hub() {
    let mut world = ThreeHosts::start("no_hub_limit");
    announce_limit(&world.engines, LIMIT_PER_S);
    world.send_for(&[2], Duration::from_secs(1));
    world.hosts.kill(0);
    world.hosts.kill(1);
    world.send_for(&[2], Duration::from_secs(6));
    for engine in &world.engines {
        assert!(
            engine.count_limit_hosts() > 0,
            "{}: no host received the limit",
            engine.id
        );
        assert_within_limit(engine, LIMIT_PER_S);
    }
}

/// Once the servers withdraw their limits, all hosts use them as before.
#[test]
fn limits_withdrawn() {
    let world = ThreeHosts::start("limit_lifted");
    announce_limit(&world.engines, 1);
    let answers = world.send_for(&[0, 1, 2], Duration::from_secs(2));
    assert!(answers.iter().any(|answer| answer.status != 200));
    for engine in &world.engines {
        engine.set_limit(None);
    }
    let all_served = || {
        let answers = world.send_for(&[0, 1, 2], Duration::from_millis(200));
        answers.iter().all(|answer| answer.status == 200)
    };
    wait("all requests are served", all_served);
}

/// An invalid limit excludes no server, and the lowest limit excludes one for 5 s only.
#[test]
fn invalid_limits() {
    let world = ThreeHosts::start("odd_limits");
    for limit in ["few", "-3", "NaN", "inf", "1e9", "", "0"] {
        world.engines[0].set_limit(Some(limit));
        world.send_until(0, &world.engines[0], |_| true);
        world.send_until(0, &world.engines[0], |_| true);
    }
}

//! Backend servers that name how many requests a second they take from all hosts together, through real gateways.
//!
//! Two of nine servers named about three a second, and got 28 and 29 within 4 s from hosts that had passed on such
//! answers; half as much again as was named, and five, may come. Nobody read the figure: places were given by slots and
//! pace, and these two were among the fastest. It bounds the sum over all hosts, so no host can keep to it alone; the
//! hub, which gives the places of all, draws each from what the server takes now, and a host sends nothing there
//! without such a place.
//!
//! What settled it are the lines on sendings of twelve hosts: all 834 places had come from the hub (`"by":"hub"`), by a
//! word 55 ms old at the most (`"hub_ms"`), and one of the two servers got as many after it had named its limit as
//! before: 12, 5, 11, 6 in the seconds after, 10, 9, 8, 9 in those before.

mod platform;

use std::time::Duration;

use platform::Engine;
use platform::ThreeHosts;
use platform::wait;

/// The span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// How many times what a server names may come within [`WINDOW`], and how many more: half as much again.
const ALLOWED: (usize, usize) = (6, 5);

/// How many requests a second servers name.
const NAMED: usize = 2;

/// These engines name a limit.
fn name(engines: &[Engine], rate: usize) {
    let limit = rate.to_string();
    for engine in engines {
        engine.set_limit(Some(&limit));
    }
}

/// No more came to an engine than it may get.
fn is_kept(engine: &Engine, rate: usize) {
    let most = engine.max_from_informed(WINDOW);
    let (times, more) = ALLOWED;
    assert!(most <= rate * times + more, "{}: {most}", engine.id);
}

/// Two of three servers name a limit, and the third serves all.
#[test]
fn kept() {
    let world = ThreeHosts::start("limit_kept");
    name(&world.engines[..2], NAMED);
    for answer in world.send_for(&[0, 1, 2], Duration::from_secs(7)) {
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    for engine in &world.engines[..2] {
        assert!(
            engine.count_limit_hosts() > 0,
            "{}: nobody was told",
            engine.id
        );
        is_kept(engine, NAMED);
    }
}

/// All of them name one: what they take is served, and others are told so, truly, and when to come back.
#[test]
fn all_limited() {
    let world = ThreeHosts::start("all_limited");
    name(&world.engines, NAMED);
    let answers = world.send_for(&[0, 1, 2], Duration::from_secs(7));
    for engine in &world.engines {
        is_kept(engine, NAMED);
    }
    let served = answers.iter().filter(|answer| answer.status == 200);
    let takes = NAMED * world.engines.len();
    assert!(served.count() > 5 * takes, "all that they take in 5 of 7 s");
    for answer in answers.iter().filter(|answer| answer.status != 200) {
        assert_eq!(answer.status, 503, "{}", answer.body);
        assert!(answer.header("retry-after").is_some(), "{}", answer.head);
    }
}

/// It holds as well at a host that hears no hub.
#[test]
fn no_hub() {
    let mut world = ThreeHosts::start("no_hub_limit");
    name(&world.engines, NAMED);
    world.send_for(&[2], Duration::from_secs(1));
    world.hosts.kill(0);
    world.hosts.kill(1);
    world.send_for(&[2], Duration::from_secs(6));
    for engine in &world.engines {
        assert!(
            engine.count_limit_hosts() > 0,
            "{}: nobody was told",
            engine.id
        );
        is_kept(engine, NAMED);
    }
}

/// Once they name none any more all hosts use them as before.
#[test]
fn lifted() {
    let world = ThreeHosts::start("limit_lifted");
    name(&world.engines, 1);
    let answers = world.send_for(&[0, 1, 2], Duration::from_secs(2));
    assert!(answers.iter().any(|answer| answer.status != 200));
    for engine in &world.engines {
        engine.set_limit(None);
    }
    let all_served = || {
        let answers = world.send_for(&[0, 1, 2], Duration::from_millis(200));
        answers.iter().all(|answer| answer.status == 200)
    };
    wait("all is served", all_served);
}

/// A limit that makes no sense takes no server away, and the least one for 5 s only.
#[test]
fn odd_limits() {
    let world = ThreeHosts::start("odd_limits");
    for odd in ["few", "-3", "NaN", "inf", "1e9", "", "0"] {
        world.engines[0].set_limit(Some(odd));
        world.send_until(0, &world.engines[0], |_| true);
        world.send_until(0, &world.engines[0], |_| true);
    }
}

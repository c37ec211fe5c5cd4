//! The retry budget of a service over all hosts, with real hosts and engines that fail every request.

mod platform;

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use platform::Engine;
use platform::ThreeHosts;
use platform::wait;

/// The hosts' settings: retries for each request, retries in any case, and the window.
const RATIO: f64 = 0.2;
const MIN_RETRIES: f64 = 60.0;
const WINDOW: Duration = Duration::from_secs(10);

const HOSTS: usize = 3;

/// Requests that each host gets at once.
const BURST: usize = 25;

/// Sends failing requests to all hosts at once; returns when they were sent.
fn send_failing(world: &ThreeHosts, round: usize) -> Vec<Instant> {
    let started = Instant::now();
    std::thread::scope(|scope| {
        for host in 0..HOSTS {
            for number in 0..BURST {
                let number = round * BURST + number;
                scope.spawn(move || world.send(host, number, "/open/", "fail"));
            }
        }
    });
    vec![started; HOSTS * BURST]
}

/// When engines received an attempt beyond the first of its request.
fn retries(world: &ThreeHosts) -> Vec<Instant> {
    let mut received: Vec<_> = world.engines.iter().flat_map(Engine::received).collect();
    received.sort_by_key(|received| received.at);
    let mut seen = BTreeSet::new();
    let repeated = received.iter().filter(|received| {
        let id = received.header("x-attempt-id").unwrap_or_default();
        !seen.insert(id.to_owned())
    });
    repeated.map(|received| received.at).collect()
}

/// Asserts that no window has more retries than allowed by the requests in it, in the one before it or half a window
/// before it.
fn assert_within_budget(requests: &[Instant], retries: &[Instant]) {
    // The number of times in the window that starts `before` ahead of `start`.
    let count = |times: &[Instant], start: Instant, before: Duration| {
        let within = |at: &&Instant| (start..start + WINDOW).contains(&(**at + before));
        u32::try_from(times.iter().filter(within).count()).expect("a small number")
    };
    for start in retries {
        let windows = [Duration::ZERO, WINDOW / 2, WINDOW];
        let most = windows.map(|before| count(requests, *start, before));
        let most = most.into_iter().max();
        let allowed = MIN_RETRIES + RATIO * f64::from(most.unwrap_or_default());
        let retries = count(retries, *start, Duration::ZERO);
        assert!(f64::from(retries) <= allowed, "{retries} of {allowed}");
    }
}

/// Hosts that start again do not use a second time what their former processes have used.
#[test]
fn hosts_restart() {
    let mut world = ThreeHosts::start("retries_restart");
    let mut requests = Vec::new();
    for round in 0..8 {
        requests.extend(send_failing(&world, round));
        (0..HOSTS).for_each(|host| world.hosts.kill(host));
        (0..HOSTS).for_each(|host| world.hosts.boot(host, false));
        wait("all hosts are ready", || {
            (0..HOSTS).all(|host| world.hosts.is_ready(host))
        });
    }
    let retries = retries(&world);
    assert!(!retries.is_empty(), "requests are retried");
    assert_within_budget(&requests, &retries);
}

//! Responses whose status is none of a final response: their callers must not receive them as responses of the server.

mod platform;

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use curlewlift::LinkFault;
use platform::Answer;
use platform::ThreeHosts;
use platform::request_play;
use platform::wait;

/// What stands in the place of the status.
const STATUSES: [&str; 16] = [
    "000", "001", "099", "100", "101", "102", "199", "600", "700", "999", "1000", "20", "-200",
    "abc", "2 00", "-",
];

/// The versions of the engines: enough of them for those that failed to be avoided for a while.
const ENGINES: [&str; 16] = ["v1"; 16];

/// The statuses that callers may receive.
const FINAL: RangeInclusive<u16> = 200..=599;

/// Sends a request until it reaches a server, as those that failed are avoided for a while; returns the response, and
/// how often it was sent to servers.
fn request_sent(world: &ThreeHosts, host: SocketAddr, path: &str, play: &str) -> (Answer, usize) {
    let before = world.count_received();
    let mut answer = Answer::default();
    wait("a request reaches a server", || {
        answer = request_play(host, path, play);
        world.count_received() > before
    });
    (answer, world.count_received() - before)
}

/// Checks each status, in a response that is read whole, a stream, and one that looks as if the request had not run.
fn check(world: &ThreeHosts) {
    let host = world.hosts.callers(0);
    for status in STATUSES {
        for (path, play) in [
            ("/once/", "status"),
            ("/stream/", "status"),
            ("/resume/", "status"),
            ("/once/", "status-not-run"),
        ] {
            let what = format!("{status:?} {path} {play}");
            let (answer, sent) = request_sent(world, host, path, &format!("{play} {status}"));
            assert_eq!(answer.status, 502, "{what}: {}", answer.body);
            let is_broken = answer.body.contains("\"code\":4002,");
            assert!(is_broken, "{what}: {}", answer.body);
            let signature = answer.header("x-response-signature");
            assert_eq!(signature, None, "{what}: signed as the server's");
            let when = answer.header("retry-after");
            assert_eq!(when, None, "{what}: it may have run");
            if path == "/once/" {
                assert_eq!(sent, 1, "{what}: sent again");
            }
        }
        // The others are avoided for a while after the requests above.
        wait("another server serves a request that may run again", || {
            let answer = request_play(host, "/safe/", &format!("first=status {status}"));
            assert!(
                FINAL.contains(&answer.status),
                "{status:?}: {}",
                answer.status
            );
            answer.status == 200 && answer.body == "done"
        });
    }
}

#[test]
fn direct() {
    check(&ThreeHosts::start_versions("statuses_direct", &ENGINES));
}

#[test]
fn through_another_host() {
    let world = ThreeHosts::start_versions("statuses_tunnel", &ENGINES);
    world.set_link_faults(&[0], Some(LinkFault::Refuses));
    check(&world);
}

/// A server that responds so is avoided like one whose responses cannot be read: few of many requests reach it.
#[test]
fn avoided() {
    let received = |play: &str| {
        let world = ThreeHosts::start(&format!(
            "statuses_avoided_{}",
            play.replace([' ', '='], "_")
        ));
        let host = world.hosts.callers(0);
        for _ in 0..60 {
            request_play(host, "/safe/", play);
        }
        world.engines[0].received().len()
    };
    let unreadable = received("first=status abc");
    for status in ["600", "999"] {
        let count = received(&format!("first=status {status}"));
        assert!(
            count <= 2 * unreadable + 2,
            "{status}: {count} of 60, {unreadable} if unreadable"
        );
    }
}

//! Responses that break off must not reach their callers as complete ones.

mod platform;

use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use curlewlift::LinkFault;
use platform::Answer;
use platform::LINGER_TIME;
use platform::StreamEnd;
use platform::ThreeHosts;
use platform::send_request;
use platform::wait;

/// Ways in which a stream breaks off inside an event.
const CUTS: [&str; 11] = [
    "in-first-byte",
    "in-id",
    "in-data",
    "in-line-end",
    "before-blank-line",
    "before-blank-line crlf",
    "before-blank-line cr",
    "in-line-end crlf",
    "in-data comments",
    "in-id mark first",
    "in-data bytewise",
];

/// Sends a request for a stream that ends as `end` says.
fn request(host: SocketAddr, version: &str, path: &str, end: &str) -> Answer {
    request_play(host, version, path, &format!("ends {end}"))
}

/// Sends a request; `play` says what the engine does.
fn request_play(host: SocketAddr, version: &str, path: &str, play: &str) -> Answer {
    static NEXT_ID: AtomicU32 = AtomicU32::new(0);
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let head = format!(
        "POST {path} HTTP/{version}\r\nHost: shop.example\r\nX-Attempt-Id: h0-{id}\r\n\
         X-Play: {play}\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer key-ann"
    );
    // Requests with the same body would be quarantined together.
    send_request(host, &head, play)
}

fn without_comments(body: &str) -> String {
    body.replace(": ping\n", "")
}

/// Requests a stream that ends in this way; it must be received whole if `is_whole`, and otherwise be visibly broken.
fn check(world: &ThreeHosts, path: &str, end: &str, is_whole: bool) {
    let answer = request(world.hosts.callers(0), "1.1", path, end);
    let expected = StreamEnd::parse(end).expected(is_whole);
    // A complete comment before the event at which the stream broke off may be received twice.
    let [body, expected] = [answer.body.as_str(), &expected].map(without_comments);
    assert_eq!(body, expected, "{path} {end}");
    assert_eq!(answer.whole, is_whole, "{path} {end}");
}

/// Checks streams that break off with each framing. Under a rule that allows it, they must be resumed.
fn check_framings(world: &ThreeHosts, cut: &str) {
    for framing in ["close", "chunks", "length"] {
        let end = format!("{framing} {cut}");
        check(world, "/stream/", &end, false);
        check(world, "/resume/", &end, true);
    }
}

/// Streams that end inside an event have broken off, however their end is marked.
#[test]
fn cut_in_event() {
    for (number, cut) in CUTS.iter().enumerate() {
        // In one deployment, all servers would soon be avoided.
        check_framings(&ThreeHosts::start(&format!("cut_in_event_{number}")), cut);
    }
}

/// Through another host, too.
#[test]
fn cut_through_tunnel() {
    for cut in ["in-id", "before-blank-line"] {
        let world = ThreeHosts::start(&format!("cut_through_tunnel_{cut}"));
        world.set_link_faults(&[0], Some(LinkFault::Refuses));
        check_framings(&world, cut);
    }
}

/// Streams that end between two events are complete, however their end is marked.
#[test]
fn whole_streams() {
    let world = ThreeHosts::start("whole_streams");
    for end in [
        "",
        "crlf",
        "cr",
        "comments",
        "mark",
        "no-ids",
        "bytewise",
        "last-comment",
    ] {
        for framing in ["close", "chunks", "length"] {
            for path in ["/stream/", "/resume/", "/safe/"] {
                check(&world, path, &format!("{framing} {end}"), true);
            }
        }
    }
}

/// Where a stream can't be resumed, it ends visibly after its last complete event: no attempt or no time is left, events
/// without an id would be repeated, or an event is longer than a host holds.
#[test]
fn no_resumption() {
    for (number, (path, end)) in [
        ("/resume/", "close in-data twice"),
        ("/resume/", "chunks before-blank-line twice"),
        ("/resume/", "close in-data no-ids"),
        ("/stream/", "close in-long-event"),
        ("/stream/", "chunks in-long-event first"),
    ]
    .into_iter()
    .enumerate()
    {
        let world = ThreeHosts::start(&format!("no_resumption_{number}"));
        check(&world, path, end, false);
    }
}

/// A stream that broke off counts as a break of its server, and as a crash under its request.
#[test]
fn breaks_counted() {
    let world = ThreeHosts::start("breaks_counted");
    let ask = || request(world.hosts.callers(0), "1.1", "/stream/", "close in-data");
    assert!(!ask().whole);
    wait("the hub keeps requests away from the server", || {
        !world.hosts.avoided_servers().is_empty()
    });
    let avoided = world.hosts.avoided_servers();
    assert!(avoided[0].contains("outcome=Broken"), "{avoided:?}");
    wait("the request is quarantined", || ask().body.contains("4005"));
    let received = world.count_received();
    assert!((3..=6).contains(&received), "{received} servers ran it");
}

/// A caller continues a stream that broke off at another host, after the last event that it has received.
#[test]
fn resumed_by_caller() {
    let world = ThreeHosts::start("resumed_by_caller");
    let end = "close in-data";
    let begun = request(world.hosts.callers(0), "1.1", "/stream/", end);
    assert!(!begun.whole);
    let version = "1.1\r\nLast-Event-Id: 1";
    let rest = request(world.hosts.callers(1), version, "/resume/", "close");
    assert!(rest.whole);
    assert_eq!(
        begun.body + &rest.body,
        StreamEnd::parse(end).expected(true)
    );
}

/// A host that is killed while it helps ends its connections like a server that has sent its whole response.
#[test]
fn helper_killed() {
    for (path, killed, is_whole) in [
        ("/stream/", &[1, 2][..], false),
        ("/resume/", &[1], true),
        ("/resume/", &[2], true),
    ] {
        let mut world =
            ThreeHosts::start(&format!("helper_killed_{path}_{killed:?}").replace('/', ""));
        world.set_link_faults(&[0], Some(LinkFault::Refuses));
        let ends = ["close lingers", "close lingers halves"];
        let answers = std::thread::scope(|scope| {
            let host = world.hosts.callers(0);
            let requests = ends.map(|end| scope.spawn(move || request(host, "1.1", path, end)));
            wait("the streams have begun", || {
                world.count_received() == ends.len()
            });
            std::thread::sleep(LINGER_TIME / 3);
            for host in killed {
                world.hosts.kill(*host);
            }
            requests.map(|request| request.join().expect("no panic"))
        });
        for (answer, end) in answers.iter().zip(ends) {
            assert_eq!(
                answer.whole, is_whole,
                "{path} {killed:?} {end}: {}",
                answer.body
            );
            let expected = StreamEnd::parse(end).expected(true);
            assert_eq!(
                answer.body == expected,
                is_whole,
                "{path} {end}: {}",
                answer.body
            );
            assert!(
                expected.starts_with(&answer.body),
                "{path} {end}: {}",
                answer.body
            );
        }
    }
}

/// A caller that speaks HTTP/1.0 gets no chunks, so only a reset shows that a response broke off.
#[test]
fn old_callers() {
    let world = ThreeHosts::start("old_callers");
    let host = world.hosts.callers(0);
    for version in ["1.1", "1.0"] {
        for (end, is_whole) in [("close in-data", false), ("close", true), ("chunks", true)] {
            let answer = request(host, version, "/stream/", end);
            let expected = StreamEnd::parse(end).expected(false);
            assert_eq!(answer.body, expected, "{version} {end}");
            assert_eq!(answer.whole, is_whole, "{version} {end}");
        }
    }
}

/// The end of a response that is no stream of events tells nothing of its content: it is complete unless the connection is
/// reset, whatever its size.
#[test]
fn unframed_responses() {
    let world = ThreeHosts::start("unframed_responses");
    let ask = |path, play: &str| request_play(world.hosts.callers(0), "1.1", path, play);
    for path in ["/safe/", "/once/", "/stream/", "/resume/"] {
        for size in [0, 10, 300_000, 10_000_000] {
            let answer = ask(path, &format!("unframed {size}"));
            assert_eq!((answer.status, answer.body.len()), (200, size), "{path}");
            assert!(answer.whole, "{path} {size}");
        }
    }
    for path in ["/once/", "/stream/"] {
        for size in [10, 300_000] {
            let answer = ask(path, &format!("unframed {size} reset"));
            let is_complete = answer.status == 200 && answer.whole;
            assert!(!is_complete, "{path} {size}: {}", answer.head);
        }
    }
}

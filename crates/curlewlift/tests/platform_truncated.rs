//! Responses that break off must not reach their callers as complete ones.

mod platform;

use curlewlift::LinkFault;
use platform::Answer;
use platform::StreamEnd;
use platform::ThreeHosts;
use platform::send_request;

/// Where streams break off.
const CUTS: [&str; 5] = [
    "in-first-byte",
    "in-id",
    "in-data",
    "in-line-end",
    "before-blank-line",
];

/// Sends a request for a stream that ends as `end` says.
fn request(world: &ThreeHosts, version: &str, path: &str, end: &str) -> Answer {
    let head = format!(
        "POST {path} HTTP/{version}\r\nHost: shop.example\r\nX-Attempt-Id: h0-1\r\n\
         X-Play: ends {end}\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer key-ann"
    );
    send_request(world.hosts.callers(0), &head, "question")
}

fn without_comments(body: &str) -> String {
    body.replace(": ping\n", "")
}

/// Requests streams that end in this way, with each framing; under a rule that allows it, they must be resumed.
fn check(world: &ThreeHosts, end: &str) {
    for framing in ["close", "chunks", "length"] {
        let end = format!("{framing} {end}");
        for (path, is_resumed) in [("/stream/", false), ("/resume/", true)] {
            let answer = request(world, "1.1", path, &end);
            let expected = StreamEnd::parse(&end).expected(is_resumed);
            // A complete comment before the event at which the stream broke off may be received twice.
            let [body, expected] = [answer.body.as_str(), &expected].map(without_comments);
            assert_eq!(body, expected, "{path} {end}");
            assert_eq!(answer.whole, is_resumed, "{path} {end}: {}", answer.body);
        }
    }
}

/// Streams that end inside an event have broken off, however their end is marked.
#[test]
fn cut_in_event() {
    let world = ThreeHosts::start("cut_in_event");
    for cut in CUTS {
        for flags in ["", "crlf", "cr", "comments", "mark", "first", "bytewise"] {
            check(&world, &format!("{cut} {flags}"));
        }
    }
}

/// Through another host, too.
#[test]
fn cut_through_tunnel() {
    let world = ThreeHosts::start("cut_through_tunnel");
    world.set_link_faults(&[0], Some(LinkFault::Refuses));
    for cut in CUTS {
        check(&world, cut);
    }
}

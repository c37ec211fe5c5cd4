//! Bytes without end from a backend server, in a head, in a body or after a whole response, that are no part of a response.
//!
//! Nothing in them ends, so that a gateway which waits for the end of a line, a chunk or an event waits until its caller
//! gives up, and holds ever more bytes.

mod platform;

use curlewlift::LinkFault;
use platform::Engine;
use platform::ThreeHosts;
use platform::request_play;

/// Where the bytes without end are.
const KINDS: [&str; 8] = [
    "status",
    "header",
    "headers",
    "chunk-size",
    "chunk-extension",
    "trailer",
    "event",
    "chunked-event",
];

/// How many bytes a server may send before its connection is closed: the longest event, and what links and the buffers of
/// two hosts hold meanwhile.
const MAX_BYTES: u64 = 16 << 20;

/// The most bytes that an engine has sent without end.
fn max_bytes(world: &ThreeHosts) -> u64 {
    let bytes = world.engines.iter().map(Engine::max_endless_bytes);
    bytes.max().unwrap_or(0)
}

/// Checks that requests end as broken, before their deadline, where all engines respond without end, and that one that may
/// run again is served by another engine where only the first one does.
fn check(world: &ThreeHosts, kind: &str) {
    let host = world.hosts.callers(0);
    for path in ["/once/", "/stream/"] {
        let answer = request_play(host, path, &format!("endless {kind}"));
        let is_broken = answer.status == 502 && answer.body.contains("\"code\":4002,");
        let is_cut = answer.status == 200 && !answer.whole;
        let is_ended = is_broken || is_cut;
        assert!(is_ended, "{kind} {path}: {} {}", answer.status, answer.body);
    }
    let bytes = max_bytes(world);
    assert!(bytes > 0, "{kind}: no request reached an engine");
    assert!(bytes <= MAX_BYTES, "{kind}: {bytes} bytes were accepted");
    if kind.ends_with("event") {
        // It is forwarded as it arrives once it is too long for a buffer, and cannot be sent again then.
        return;
    }
    let answer = request_play(host, "/safe/", &format!("first=endless {kind}"));
    let is_served = answer.status == 200 && answer.whole;
    assert!(is_served, "{kind}: {} {}", answer.status, answer.body);
}

#[test]
fn as_fast_as_possible() {
    for kind in KINDS {
        check(&ThreeHosts::start(&format!("fast_{kind}")), kind);
    }
}

#[test]
fn a_byte_at_a_time() {
    std::thread::scope(|scope| {
        for kind in KINDS {
            scope.spawn(move || {
                let world = ThreeHosts::start(&format!("slow_{kind}"));
                check(&world, &format!("{kind} slow"));
            });
        }
    });
}

/// What follows a whole response is not read, and changes nothing about it.
#[test]
fn after_whole_response() {
    let world = ThreeHosts::start("after_whole_response");
    for _ in 0..10 {
        let answer = request_play(world.hosts.callers(0), "/once/", "endless after-length");
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert!(answer.whole && answer.body == "done", "{}", answer.body);
    }
    assert!((1..=MAX_BYTES).contains(&max_bytes(&world)));
}

/// The same through another host.
#[test]
fn through_another_host() {
    for kind in ["header", "chunk-size slow", "event"] {
        let name = format!("tunnel_{}", kind.replace(' ', "_"));
        let world = ThreeHosts::start(&name);
        world.set_link_faults(&[0], Some(LinkFault::Refuses));
        check(&world, kind);
    }
}

//! Sound servers that are silent inside a response: nothing but its end or its deadline ends it, so that the caller gets it whole
//! and it runs once.

mod platform;

use std::thread;
use std::time::Duration;

use curlewlift::LinkFault;
use platform::BODIES;
use platform::EVENTS;
use platform::Engine;
use platform::STRADDLING_EVENTS;
use platform::Silent;
use platform::ThreeHosts;
use platform::document;
use platform::entry;
use platform::wait;
use serde_json::Value;
use serde_json::json;

/// The host that requests are sent to: one without a disk.
const HOST: usize = 3;

/// How long servers are silent.
const SILENCE_MS: u64 = 2_600;

/// After how long a request that has not run is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Slots of each engine: all requests run at the same time.
const SLOTS: u32 = 500;

/// Places at which a server is silent, `step` bytes apart, at other offsets in each way of sending the body.
fn places(step: usize) -> impl Iterator<Item = (usize, usize)> {
    let head = "HTTP/1.1 200 X\r\nX-Attempt-Id: s-0-000\r\nX-Response-Signature: sealed\r\n";
    (0..BODIES.len()).flat_map(move |body| {
        let length = Silent::response(head, body).len();
        (body % step..length)
            .step_by(step)
            .map(move |offset| (body, offset))
    })
}

/// The configuration `version`, under which streams are public.
fn streams(version: u64) -> Value {
    let mut document = document(version);
    for route in 2..4 {
        document["routes"][route]["public"] = json!(true);
    }
    document
}

/// Sends a stream for each place at which its server is silent; `during` happens meanwhile, and what it returns is kept until
/// they have ended. Checks that all are whole and run once.
fn check<T>(mut small: ThreeHosts, step: usize, during: impl FnOnce(&mut ThreeHosts) -> T) {
    let engines = small.engines.iter().map(|engine| {
        let mut entry = entry(engine, "chat", "ready");
        entry["slots"] = json!(SLOTS);
        entry
    });
    small.hosts.list(engines.collect());
    small.hosts.configure(&streams(8).to_string());
    let host = small.hosts.callers(HOST);
    wait("the engines have their slots", || {
        thread::scope(|scope| {
            for number in 0..24 {
                let small = &small;
                scope.spawn(move || small.send(HOST, number, "/open/", "work"));
            }
        });
        let working = small.engines.iter().map(Engine::take_max_working);
        working.sum::<usize>() > 12
    });
    let before = small.count_received();
    let count = places(step).count();
    let sent = places(step).map(|(body, offset)| {
        let path = ["/stream/", "/resume/"][offset % 2];
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: s-{body}-{offset:03}\r\n\
             X-Play: silent {body} {offset} {SILENCE_MS}\r\nX-Deadline-Ms: 6000"
        );
        thread::spawn(move || {
            loop {
                let answer = platform::send_request(host, &head, "question");
                // It has not run: a host that has just lost its paths opens few tunnels at a time.
                if answer.status != 503 {
                    return (body, offset, answer);
                }
                thread::sleep(RETRY_DELAY);
            }
        })
    });
    let sent: Vec<_> = sent.collect();
    wait("all streams run", || {
        small.count_received() >= before + count
    });
    let _kept = during(&mut small);
    let answers = sent.into_iter().map(|sent| sent.join().expect("a caller"));
    let cut: Vec<_> = answers
        .filter(|(_, _, answer)| !answer.whole || answer.body != EVENTS)
        .map(|(body, offset, answer)| (body, offset, answer.status, answer.body))
        .collect();
    assert!(cut.is_empty(), "{} of {count} cut: {cut:?}", cut.len());
    assert_eq!(small.count_received(), before + count, "one ran twice");
}

/// A stream is cut off because its server is silent.
#[test]
fn calm() {
    check(ThreeHosts::start_more("silent_calm", 1), 3, |_| ());
}

/// A stream is cut off because its server is silent while its host stops and the configuration changes.
#[test]
fn while_stopping() {
    check(ThreeHosts::start_more("silent_stop", 1), 3, |small| {
        let mut document = streams(9);
        document["limits"]["idle_timeout_ms"] = json!(3_000);
        document["routes"][2]["timeout_ms"] = json!(1_000);
        document["routes"][3]["timeout_ms"] = json!(1_000);
        let process = small.hosts.stop(HOST);
        small.hosts.configure(&document.to_string());
        process
    });
}

/// The same over a connection through another host.
#[test]
fn through_another_host() {
    let small = ThreeHosts::start_more("silent_tunnel", 1);
    small.set_link_faults(&[HOST], Some(LinkFault::Refuses));
    check(small, 24, |_| ());
}

/// A stream whose packets all end inside events is cut off, as what counts against its server never begins anew.
#[test]
fn packets_end_in_events() {
    let small = ThreeHosts::start("packets_end_in_events");
    thread::scope(|scope| {
        let cases =
            ["/stream/", "/safe/"].map(|path| ["two", "single"].map(|chunks| (path, chunks)));
        for (number, (path, chunks)) in cases.into_iter().flatten().enumerate() {
            let small = &small;
            scope.spawn(move || {
                let answer = small.send(0, number, path, &format!("straddling {chunks}"));
                let is_whole =
                    answer.whole && answer.body == "data: 1\n\n".repeat(STRADDLING_EVENTS);
                assert!(is_whole, "{path} {chunks}: {answer:?}");
            });
        }
    });
    assert_eq!(small.count_received(), 4, "one ran twice");
}

//! A change of the configuration does nothing to responses that have begun.

mod platform;

use std::thread;

use platform::KeptConnection;
use platform::ThreeHosts;
use platform::document;
use platform::wait;
use serde_json::Value;
use serde_json::json;

/// A deadline that is not reached.
const DEADLINE_MS: u32 = 15_000;

/// Streams, one of which breaks off after the change and is resumed: the path, what the engine does, and the last event.
const STREAMS: [(&str, &str, &str); 2] = [
    ("/stream/", "pause-events", "e6"),
    ("/resume/", "ends chunks in-data lingers", "e3"),
];

/// A change of the configuration.
type Change = fn(&mut Value);

/// What is taken from a stream that runs, or given to another service.
const CHANGES: [(&str, Change); 4] = [
    ("rules removed", |document| {
        let routes = document["routes"].as_array_mut().expect("routes");
        routes.retain(|route| route["kind"] != "streaming");
    }),
    ("rules moved to another service", move_rules),
    ("service removed", |document| {
        move_rules(document);
        let services = document["services"].as_array_mut().expect("services");
        services.retain(|service| service["name"] != "chat");
    }),
    ("customer removed", |document| {
        let customers = document["tenants"].as_array_mut().expect("customers");
        customers.retain(|customer| customer["name"] != "ann");
    }),
];

fn move_rules(document: &mut Value) {
    for route in document["routes"].as_array_mut().expect("routes") {
        route["service"] = json!("pay");
    }
}

/// The configuration before a change.
fn initial(version: u64) -> Value {
    let mut document = document(version);
    for route in document["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(DEADLINE_MS);
    }
    document
}

/// A stream goes on, and is resumed, when its rule, service or customer is removed or moved.
#[test]
fn running_streams() {
    let small = ThreeHosts::start("running_streams");
    let mut version = 7;
    for (name, change) in CHANGES {
        version += 1;
        small.hosts.configure(&initial(version).to_string());
        let received = small.count_received();
        thread::scope(|scope| {
            let streams = STREAMS.map(|(path, behavior, last)| {
                let callers = small.hosts.callers(2);
                scope.spawn(move || {
                    let head = format!(
                        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {name} {path}\r\n\
                         X-Play: {behavior}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Bearer key-ann"
                    );
                    let answer = KeptConnection::default().send(callers, &head, name);
                    assert!(answer.whole && answer.body.contains(last), "{name}: {answer:?}");
                })
            });
            wait("the streams begin", || {
                small.count_received() >= received + STREAMS.len()
            });
            version += 1;
            let mut changed = initial(version);
            change(&mut changed);
            wait("the change is accepted", || {
                small.hosts.put(0, &changed.to_string()) == 200
            });
            for stream in streams {
                stream.join().expect("the stream is whole");
            }
        });
    }
}

//! Evacuations of data halls with real gateways, and requests that must stay in a region.
//!
//! An evacuation that is ordered at one host must apply at all hosts, also without a hub and after all hosts were
//! killed.

mod platform;

use platform::Answer;
use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::folder;
use platform::send_request;
use platform::wait;
use serde_json::json;

/// Sends an order, again while no leader is confirmed, as operators do; returns the status.
fn order(hosts: &Hosts, host: usize, path: &str) -> u16 {
    let head = format!("POST /api/evacuation/{path} HTTP/1.1\r\nHost: x");
    let mut status = 503;
    wait("a leader responds to the order", || {
        status = send_request(hosts.control(host), &head, "").status;
        status != 503
    });
    status
}

/// Sends a request that matches `rule` to a host.
fn get(hosts: &Hosts, host: usize, id: &str, rule: &str) -> Answer {
    let head = format!(
        "GET /{rule}/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: 5000\r\nAuthorization: Bearer key-ann"
    );
    send_request(hosts.callers(host), &head, "")
}

/// Starts three hosts, and an engine in each of two halls.
fn start(name: &str) -> (Hosts, [Engine; 2]) {
    let mut engines = ["i-0", "i-1"].map(Engine::start);
    engines[1].hall = "hall-1";
    let listed = [(&engines[0], "chat"), (&engines[1], "chat")];
    let hosts = Hosts::start(folder(name), &listed);
    (hosts, engines)
}

/// Sends requests to all hosts; every request must be served.
fn call_all_hosts(hosts: &Hosts, name: &str) {
    for number in 0..60 {
        let response = get(hosts, number % 3, &format!("{name}-{number}"), "safe");
        assert_eq!(response.status, 200, "{name} {number}: {}", response.body);
    }
}

/// No request reaches a server of an evacuated hall, neither from a host without a hub nor after all hosts were
/// killed.
#[test]
fn evacuated_hall_unused() {
    let (mut hosts, engines) = start("evacuated_hall_unused");
    hosts.configure(&document(7).to_string());
    for path in ["hall-9/start", "hall-0/empty", "/start", "hall-0"] {
        assert_eq!(order(&hosts, 0, path), 404, "{path}");
    }
    call_all_hosts(&hosts, "before");
    assert!(engines.iter().all(|engine| !engine.received().is_empty()));
    for host in 0..3 {
        assert_eq!(
            order(&hosts, host, "hall-1/start"),
            200,
            "a repeated order is accepted"
        );
    }
    let sent = || engines[1].received().len();
    let mut seen = sent();
    wait("all hosts apply the evacuation", || {
        call_all_hosts(&hosts, "soon");
        let previous = std::mem::replace(&mut seen, sent());
        previous == seen
    });
    hosts.kill(0);
    hosts.kill(1);
    for number in 0..60 {
        assert_eq!(
            get(&hosts, 2, &format!("alone-{number}"), "safe").status,
            200
        );
    }
    hosts.kill(2);
    for host in hosts.indices() {
        hosts.boot(host, false);
    }
    wait("all hosts serve again", || {
        (0..3).all(|host| get(&hosts, host, &format!("up-{host}"), "safe").status == 200)
    });
    call_all_hosts(&hosts, "after");
    assert_eq!(sent(), seen, "no request was sent to the evacuated hall");
    assert_eq!(order(&hosts, 2, "hall-1/end"), 200);
    wait("the hall is used again", || {
        call_all_hosts(&hosts, "end");
        sent() > seen
    });
}

/// Requests of a rule that allows one region are served there only. If the rule has no region in common with its
/// customer, the request is refused without an attempt.
#[test]
fn stays_in_region() {
    let (hosts, engines) = start("stays_in_region");
    let mut document = document(7);
    document["routes"][0]["allowed_regions"] = json!(["region-1"]);
    document["routes"][1]["allowed_regions"] = json!(["region-9"]);
    document["tenants"][0]["allowed_regions"] = json!(["region-0", "region-1"]);
    hosts.configure(&document.to_string());
    call_all_hosts(&hosts, "home");
    assert!(
        engines[0].received().is_empty(),
        "{:?}",
        engines[0].received().len()
    );
    let refused = get(&hosts, 0, "nowhere", "once");
    assert_eq!(refused.status, 503);
    assert!(refused.body.contains("3008"), "{}", refused.body);
    assert!(engines[0].received().is_empty());
}

//! Evacuations with real gateways: ordered at one host, in force at all, through losses; requests that must stay in a
//! region.

mod platform;

use platform::Answer;
use platform::Engine;
use platform::Hosts;
use platform::ask;
use platform::document;
use platform::entry;
use platform::folder;
use platform::wait;
use serde_json::json;

/// Gives an order, and again, as operators do, while no leader is sure; gives the status.
fn order(hosts: &Hosts, place: usize, path: &str) -> u16 {
    let head = format!("POST /api/evacuation/{path} HTTP/1.1\r\nHost: x");
    let mut status = 503;
    wait("the order is answered", || {
        status = ask(hosts.control(place), &head, "").status;
        status != 503
    });
    status
}

fn get(hosts: &Hosts, place: usize, id: &str, rule: &str) -> Answer {
    let head = format!(
        "GET /{rule}/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: 5000\r\nAuthorization: Bearer key-ann"
    );
    ask(hosts.callers(place), &head, "")
}

/// An engine in each of two halls.
fn start(name: &str) -> (Hosts, [Engine; 2]) {
    let engines = ["i-0", "i-1"].map(Engine::start);
    let hosts = Hosts::start(folder(name), &[]);
    let mut entries: Vec<_> = engines
        .iter()
        .map(|engine| entry(engine, "chat", "ready"))
        .collect();
    entries[1]["zone"] = json!("hall-1");
    hosts.list(entries);
    (hosts, engines)
}

/// Calls at all hosts; every request is served.
fn calls(hosts: &Hosts, name: &str) {
    for number in 0..60 {
        let answer = get(hosts, number % 3, &format!("{name}-{number}"), "safe");
        assert_eq!(answer.status, 200, "{name} {number}: {}", answer.body);
    }
}

/// No request reaches a server of an evacuated hall, also by a host that hears no hub, and after all hosts were lost.
#[test]
fn nothing_sent() {
    let (mut hosts, engines) = start("nothing_sent");
    hosts.configure(&document(7).to_string());
    for path in ["hall-9/start", "hall-0/empty", "/start", "hall-0"] {
        assert_eq!(order(&hosts, 0, path), 404, "{path}");
    }
    calls(&hosts, "before");
    assert!(engines.iter().all(|engine| !engine.came().is_empty()));
    for place in 0..3 {
        assert_eq!(order(&hosts, place, "hall-1/start"), 200, "also again");
    }
    let sent = || engines[1].came().len();
    let mut seen = sent();
    wait("all hosts go by it", || {
        calls(&hosts, "soon");
        let former = std::mem::replace(&mut seen, sent());
        former == seen
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
    for place in hosts.places() {
        hosts.boot(place, false);
    }
    wait("all serve again", || {
        (0..3).all(|place| get(&hosts, place, &format!("up-{place}"), "safe").status == 200)
    });
    calls(&hosts, "after");
    assert_eq!(sent(), seen, "nothing was sent there");
    assert_eq!(order(&hosts, 2, "hall-1/end"), 200);
    wait("it is used again", || {
        calls(&hosts, "end");
        sent() > seen
    });
}

/// A rule that allows one region is served there only; one that has no hall in common with its customer's regions is
/// refused, and has not run.
#[test]
fn stays_in_region() {
    let (hosts, engines) = start("stays_in_region");
    let mut document = document(7);
    document["routes"][0]["allowed_regions"] = json!(["region-1"]);
    document["routes"][1]["allowed_regions"] = json!(["region-9"]);
    document["tenants"][0]["allowed_regions"] = json!(["region-0", "region-1"]);
    hosts.configure(&document.to_string());
    calls(&hosts, "home");
    assert!(
        engines[0].came().is_empty(),
        "{:?}",
        engines[0].came().len()
    );
    let refused = get(&hosts, 0, "nowhere", "once");
    assert_eq!(refused.status, 503);
    assert!(refused.body.contains("3008"), "{}", refused.body);
    assert!(engines[0].came().is_empty());
}

//! The platform's list of backend servers: malformed entries beside valid ones, malformed entries only, servers that
//! restart elsewhere under the same name, and a platform that asks for a backoff.

mod platform;

use std::time::Duration;

use platform::Answer;
use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::entry;
use platform::folder;
use platform::send_request;
use platform::wait;
use serde_json::Value;
use serde_json::json;

fn get(hosts: &Hosts, round: usize, play: &str) -> Answer {
    let head = format!(
        "GET /safe/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: r-{round}\r\nX-Play: {play}\r\n\
         X-Deadline-Ms: 5000\r\nAuthorization: Bearer key-ann"
    );
    send_request(hosts.callers(round % 3), &head, "")
}

/// Twelve malformed entries, made from a valid one.
fn malformed(valid: &Value) -> Vec<Value> {
    let with = |field: &str, value: Value| {
        let mut entry = valid.clone();
        entry["id"] = json!("i-bad");
        entry[field] = value;
        entry
    };
    let mut incomplete = with("id", json!("i-bad"));
    incomplete
        .as_object_mut()
        .expect("fields")
        .remove("address");
    vec![
        Value::Null,
        json!([]),
        json!("i-1"),
        json!({}),
        incomplete,
        with("id", json!(7)),
        with("service", json!("another's")),
        with("address", json!("nowhere")),
        with("zone", Value::Null),
        with("slots", json!("four")),
        with("state", json!("asleep")),
        with("born", json!(1.5)),
    ]
}

#[test]
fn malformed_entries() {
    let engines = [Engine::start("i-1"), Engine::start("i-2")];
    let valid = engines
        .each_ref()
        .map(|engine| entry(engine, "chat", "ready"));
    let hosts = Hosts::start(folder("others_hold"), &[(&engines[0], "chat")]);
    hosts.configure(&document(7).to_string());
    let mut entries = malformed(&valid[0]);
    entries.insert(6, valid[0].clone());
    entries.push(valid[1].clone());
    hosts.list(entries);
    let was_used = |engine: &Engine| !engine.received().is_empty();
    let mut rounds = 0..2_000;
    wait("both servers are used", || {
        let round = rounds.next().expect("in time");
        assert_eq!(get(&hosts, round, "answer").status, 200, "{round}");
        engines.iter().all(was_used)
    });
    hosts.list(malformed(&valid[0]));
    wait("requests are refused as with an empty list", || {
        let round = rounds.next().expect("in time");
        get(&hosts, round, "answer").status == 503
    });
}

/// A server stops without closing its connections, and starts again at another address under the same name. Requests
/// to the new one are served at once. A request that was sent to the former one must not be reported as not run.
#[test]
fn restarted_server() {
    let former = Engine::start("i-1");
    let hosts = Hosts::start(folder("born_again"), &[(&former, "chat")]);
    let mut first_entry = entry(&former, "chat", "ready");
    first_entry["born"] = json!(1_700_000_000_000_u64);
    hosts.list(vec![first_entry]);
    hosts.configure(&document(7).to_string());
    wait("the server is used", || {
        get(&hosts, 0, "answer").status == 200
    });
    let cut = get(&hosts, 1, "close");
    assert_eq!(cut.status, 502, "the outcome is unknown: {}", cut.body);
    let restarted = Engine::start("i-1");
    let mut second_entry = entry(&restarted, "chat", "ready");
    second_entry["born"] = json!(1_700_000_000_500_u64);
    hosts.list(vec![second_entry]);
    let mut round = 2;
    wait("the restarted server is used", || {
        round += 1;
        get(&hosts, round, "answer");
        !restarted.received().is_empty()
    });
    let before = former.received().len();
    for round in 0..30 {
        assert_eq!(get(&hosts, 1_000 + round, "answer").status, 200, "{round}");
    }
    assert_eq!(
        former.received().len(),
        before,
        "no request goes to the former server"
    );
}

/// The platform rejects requests for its list and says when to retry: no host may retry before that time.
#[test]
fn list_backoff() {
    let engine = Engine::start("i-1");
    let hosts = Hosts::start(folder("list_rests"), &[(&engine, "chat")]);
    hosts.configure(&document(7).to_string());
    hosts.reject_list_calls("1.5");
    // Hosts that don't reach the hub fetch the list too, each over its own connection.
    let mut pauses = Vec::new();
    wait("a host has sent three requests", || {
        let rejected = hosts.rejected_list_calls();
        pauses.clear();
        for (caller, at) in &rejected {
            let mut later = rejected
                .iter()
                .filter(|(other, other_at)| other == caller && other_at > at);
            pauses.extend(later.next().map(|(_, other_at)| *other_at - *at));
        }
        pauses.len() >= 2
    });
    for pause in pauses {
        assert!(pause >= Duration::from_millis(1_500), "{pause:?}");
    }
}

//! The list's entries: bad ones beside good ones, bad ones only, servers that are born again.

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

/// Twelve entries that name no server, made of a good one.
fn malformed(good: &Value) -> Vec<Value> {
    let with = |field: &str, value: Value| {
        let mut entry = good.clone();
        entry["id"] = json!("i-bad");
        entry[field] = value;
        entry
    };
    let mut short = with("id", json!("i-bad"));
    short.as_object_mut().expect("fields").remove("address");
    vec![
        Value::Null,
        json!([]),
        json!("i-1"),
        json!({}),
        short,
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
fn others_hold() {
    let engines = [Engine::start("i-1"), Engine::start("i-2")];
    let good = engines
        .each_ref()
        .map(|engine| entry(engine, "chat", "ready"));
    let hosts = Hosts::start(folder("others_hold"), &[(&engines[0], "chat")]);
    hosts.configure(&document(7).to_string());
    let mut entries = malformed(&good[0]);
    entries.insert(6, good[0].clone());
    entries.push(good[1].clone());
    hosts.list(entries);
    let served = |engine: &Engine| !engine.received().is_empty();
    let mut rounds = 0..2_000;
    wait("both are used", || {
        let round = rounds.next().expect("in time");
        assert_eq!(get(&hosts, round, "answer").status, 200, "{round}");
        engines.iter().all(served)
    });
    hosts.list(malformed(&good[0]));
    wait("as if the list were empty", || {
        let round = rounds.next().expect("in time");
        get(&hosts, round, "answer").status == 503
    });
}

/// A server that is silent ends and starts again elsewhere under its name: what is sent to the new one is
/// served at once, and what was sent to the former one is not said to have not run.
#[test]
fn born_again() {
    let former = Engine::start("i-1");
    let hosts = Hosts::start(folder("born_again"), &[(&former, "chat")]);
    let mut first = entry(&former, "chat", "ready");
    first["born"] = json!(1_700_000_000_000_u64);
    hosts.list(vec![first]);
    hosts.configure(&document(7).to_string());
    wait("it is used", || get(&hosts, 0, "answer").status == 200);
    let cut = get(&hosts, 1, "close");
    assert_eq!(cut.status, 502, "unknown: {}", cut.body);
    let again = Engine::start("i-1");
    let mut second = entry(&again, "chat", "ready");
    second["born"] = json!(1_700_000_000_500_u64);
    hosts.list(vec![second]);
    let mut round = 2;
    wait("the new one is used", || {
        round += 1;
        get(&hosts, round, "answer");
        !again.received().is_empty()
    });
    let before = former.received().len();
    for round in 0..30 {
        assert_eq!(get(&hosts, 1_000 + round, "answer").status, 200, "{round}");
    }
    assert_eq!(
        former.received().len(),
        before,
        "nothing goes to the former one"
    );
}

/// The platform turns calls for its list away and says when to ask again: nobody asks before.
#[test]
fn list_rests() {
    let engine = Engine::start("i-1");
    let hosts = Hosts::start(folder("list_rests"), &[(&engine, "chat")]);
    hosts.configure(&document(7).to_string());
    hosts.reject_list_calls("1.5");
    // Other hosts ask too where they hear no hub: each by its own connection.
    let mut pauses = Vec::new();
    wait("one has asked three times", || {
        let came = hosts.rejected_list_calls();
        pauses.clear();
        for (caller, at) in &came {
            let mut later = came
                .iter()
                .filter(|(other, then)| other == caller && then > at);
            pauses.extend(later.next().map(|(_, then)| *then - *at));
        }
        pauses.len() >= 2
    });
    for pause in pauses {
        assert!(pause >= Duration::from_millis(1_500), "{pause:?}");
    }
}

//! An entry dies with requests in flight (row D1).

mod support;

use std::time::Duration;

use axum::http::Method;

use support::SmallSystem;

const PATH: &str = "/services/pay/charge";

#[test]
fn charge_once() {
    let mut small = SmallSystem::start("charge_once", 1, 4, 1);
    small.plain.set_delay(Duration::from_secs(2));
    let headers = [("idempotency-key", "c1")];
    let (ann, to) = (small.ann.clone(), small.site.entry(0));
    let first = small.runtime.spawn(async move {
        let headers = [("idempotency-key", "c1")];
        ann.send(to, Method::POST, PATH, &headers, "10 EUR").await
    });
    while small.plain.calls().is_empty() {
        assert!(!first.is_finished(), "the charge is under way");
        std::thread::sleep(Duration::from_millis(10));
    }
    small.site.kill_entry(0);
    small.plain.set_delay(Duration::ZERO);
    for entry in 1..4 {
        let again = small.ann.send(
            small.site.entry(entry),
            Method::POST,
            PATH,
            &headers,
            "10 EUR",
        );
        let again = small.runtime.block_on(again);
        assert_eq!(
            again.header("curlewlift-outcome"),
            "unknown",
            "{}",
            again.body
        );
        assert_eq!(again.header("curlewlift-code"), "5003", "{}", again.body);
    }
    assert_eq!(small.plain.calls().values().max(), Some(&1));
}

#[test]
fn others_go_on() {
    let mut small = SmallSystem::start("others_go_on", 1, 4, 2);
    small.site.kill_entry(3);
    let body = curlewlift_lab::client::Client::chat("m", "hello", 3, false);
    for entry in 0..3 {
        let reply = small.ann.post(small.site.entry(entry), &[], body.clone());
        let reply = small.runtime.block_on(reply);
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
    small.site.wait_for_view(3);
}

#[test]
fn copies_gone() {
    let mut small = SmallSystem::start("copies_gone", 1, 4, 1);
    let headers = [("idempotency-key", "c2")];
    let first = small
        .ann
        .send(small.site.entry(0), Method::POST, PATH, &headers, "10 EUR");
    assert_eq!(small.runtime.block_on(first).status, 200);
    for place in 0..3 {
        small.site.kill_entry(place);
    }
    small.site.wait_for_view(1);
    let last = small.site.entry(3);
    let again =
        small
            .runtime
            .block_on(small.ann.send(last, Method::POST, PATH, &headers, "10 EUR"));
    assert_eq!(again.header("curlewlift-code"), "5003", "{}", again.body);
    assert_eq!(again.header("curlewlift-outcome"), "unknown", "it did run");
    let path = "/curlewlift/addresses";
    let answer = small
        .runtime
        .block_on(small.ann.send(last, Method::GET, path, &[], ""));
    let answer: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
    let fresh = format!("{}c2", answer["stamp"].as_str().expect("a stamp"));
    let headers = [("idempotency-key", fresh.as_str())];
    let fresh =
        small
            .runtime
            .block_on(small.ann.send(last, Method::POST, PATH, &headers, "10 EUR"));
    assert_eq!(
        fresh.status, 200,
        "a stamped key is surely new: {}",
        fresh.body
    );
}

//! The crash of an entry with requests in flight. The other entries go on serving. A retried
//! request that may have run at the crashed entry must not run again, and its outcome is reported
//! as unknown.

mod support;

use std::time::Duration;

use axum::http::Method;

use support::SmallSystem;

const CHARGE_PATH: &str = "/services/pay/charge";

#[test]
fn charge_once() {
    let mut small = SmallSystem::start("charge_once", 1, 4, 1);
    small.plain.set_delay(Duration::from_secs(2));
    let headers = [("idempotency-key", "c1")];
    let (ann, address) = (small.ann.clone(), small.site.entry(0));
    let first = small.runtime.spawn(async move {
        let headers = [("idempotency-key", "c1")];
        ann.send(address, Method::POST, CHARGE_PATH, &headers, "10 EUR")
            .await
    });
    while small.plain.calls().is_empty() {
        assert!(!first.is_finished(), "the charge is still in flight");
        std::thread::sleep(Duration::from_millis(10));
    }
    small.site.kill_entry(0);
    small.plain.set_delay(Duration::ZERO);
    for entry in 1..4 {
        let retry = small.ann.send(
            small.site.entry(entry),
            Method::POST,
            CHARGE_PATH,
            &headers,
            "10 EUR",
        );
        let retry = small.runtime.block_on(retry);
        assert_eq!(
            retry.header("curlewlift-outcome"),
            "unknown",
            "{}",
            retry.body
        );
        assert_eq!(retry.header("curlewlift-code"), "5003", "{}", retry.body);
    }
    assert_eq!(small.plain.calls().values().max(), Some(&1));
}

#[test]
fn other_entries_serve() {
    let mut small = SmallSystem::start("other_entries_serve", 1, 4, 2);
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
fn all_replicas_lost() {
    let mut small = SmallSystem::start("all_replicas_lost", 1, 4, 1);
    let headers = [("idempotency-key", "c2")];
    let first = small.ann.send(
        small.site.entry(0),
        Method::POST,
        CHARGE_PATH,
        &headers,
        "10 EUR",
    );
    assert_eq!(small.runtime.block_on(first).status, 200);
    for entry in 0..3 {
        small.site.kill_entry(entry);
    }
    small.site.wait_for_view(1);
    let last = small.site.entry(3);
    let retry =
        small.runtime.block_on(
            small
                .ann
                .send(last, Method::POST, CHARGE_PATH, &headers, "10 EUR"),
        );
    assert_eq!(retry.header("curlewlift-code"), "5003", "{}", retry.body);
    assert_eq!(
        retry.header("curlewlift-outcome"),
        "unknown",
        "the first request ran, but its record is lost"
    );
    let path = "/curlewlift/addresses";
    let addresses = small
        .runtime
        .block_on(small.ann.send(last, Method::GET, path, &[], ""));
    let addresses: serde_json::Value = serde_json::from_str(&addresses.body).expect("JSON");
    let stamped_key = format!("{}c2", addresses["stamp"].as_str().expect("a stamp"));
    let headers = [("idempotency-key", stamped_key.as_str())];
    let reply =
        small.runtime.block_on(
            small
                .ann
                .send(last, Method::POST, CHARGE_PATH, &headers, "10 EUR"),
        );
    assert_eq!(
        reply.status, 200,
        "a key with the stamp of the current view is certainly new: {}",
        reply.body
    );
}

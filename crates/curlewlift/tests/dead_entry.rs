//! An entry dies with requests in flight (row D1).

mod support;

use std::time::Duration;

use axum::http::Method;
use support::Small;

const PATH: &str = "/services/pay/charge";

#[test]
fn charge_once() {
    let mut small = Small::start("charge_once", 1, 4, 1);
    small.plain.set_delay(Duration::from_secs(2));
    let headers = [("idempotency-key", "c1")];
    let first = small
        .ann
        .send(small.site.entry(0), Method::POST, PATH, &headers, "10 EUR");
    let cut = small
        .runtime
        .block_on(async { tokio::time::timeout(Duration::from_millis(600), first).await });
    assert!(cut.is_err(), "the charge is under way: {cut:?}");
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
    let mut small = Small::start("others_go_on", 1, 4, 2);
    small.site.kill_entry(3);
    let body = curlewlift_lab::client::Client::chat("m", "hello", 3, false);
    for entry in 0..3 {
        let reply = small.ann.post(small.site.entry(entry), &[], body.clone());
        let reply = small.runtime.block_on(reply);
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
    small.site.wait_for_view(3);
}

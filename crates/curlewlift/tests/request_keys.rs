//! Request keys: one dispatch for a key, whichever entry is asked (rows D2, D3, D8, D9).

mod support;

use std::time::Duration;

use axum::http::Method;
use curlewlift_lab::client::Client;

use support::SmallSystem;

const KEY: &str = "idempotency-key";

#[test]
fn same_instant() {
    let small = SmallSystem::start("same_instant", 1, 3, 2);
    let body = Client::chat("m", "hello", 40, false);
    let ask = |entry: usize| {
        let ann = small.ann.clone();
        let to = small.site.entry(entry);
        let body = body.clone();
        async move { ann.post(to, &[(KEY, "k1")], body).await }
    };
    let (one, two) = small
        .runtime
        .block_on(async { tokio::join!(ask(0), ask(1)) });
    assert_eq!(
        (one.status, two.status),
        (200, 200),
        "{} {}",
        one.body,
        two.body
    );
    assert_eq!(one.body, two.body);
    assert_eq!(small.max_runs(), 1);
}

#[test]
fn resend_elsewhere() {
    let small = SmallSystem::start("resend_elsewhere", 1, 3, 1);
    let body = Client::chat("m", "hello", 5, true);
    let headers = [(KEY, "k1")];
    let first = small.ann.post(small.site.entry(0), &headers, body.clone());
    let first = small.runtime.block_on(first);
    let again = small.ann.post(small.site.entry(2), &headers, body);
    let again = small.runtime.block_on(again);
    assert_eq!(first.body, again.body);
    assert_eq!(small.max_runs(), 1);
    let path = "/curlewlift/requests/k1";
    let state = small
        .ann
        .send(small.site.entry(1), Method::GET, path, &[], "");
    let state = small.runtime.block_on(state);
    assert!(state.body.contains("\"outcome\":\"run\""), "{}", state.body);
}

#[test]
fn other_body() {
    let small = SmallSystem::start("other_body", 1, 3, 1);
    let headers = [(KEY, "k1")];
    let one = small.ann.post(
        small.site.entry(0),
        &headers,
        Client::chat("m", "a", 3, false),
    );
    assert_eq!(small.runtime.block_on(one).status, 200);
    for entry in 0..3 {
        let body = Client::chat("m", "b", 3, false);
        let two = small
            .runtime
            .block_on(small.ann.post(small.site.entry(entry), &headers, body));
        assert_eq!(
            (two.status, two.header("curlewlift-code")),
            (422, "5001"),
            "{}",
            two.body
        );
        assert_eq!(two.header("curlewlift-outcome"), "not-run");
    }
    assert_eq!(small.engines[0].stats().runs.len(), 1);
}

#[test]
fn two_customers() {
    let small = SmallSystem::start("two_customers", 1, 3, 1);
    let headers = [(KEY, "k1")];
    let body = Client::chat("m", "hello", 3, false);
    let ann = small
        .runtime
        .block_on(small.ann.post(small.site.entry(0), &headers, body.clone()));
    let path = "/curlewlift/requests/k1";
    let look = small
        .ben
        .send(small.site.entry(0), Method::GET, path, &[], "");
    let look = small.runtime.block_on(look);
    assert_eq!((look.status, look.header("curlewlift-code")), (404, "5004"));
    let ben = small
        .runtime
        .block_on(small.ben.post(small.site.entry(0), &headers, body));
    assert_eq!((ann.status, ben.status), (200, 200));
    assert_eq!(small.engines[0].stats().runs.len(), 2);
}

#[test]
fn caller_returns() {
    let small = SmallSystem::start("caller_returns", 1, 3, 1);
    let body = Client::chat("m", "hello", 200, true);
    let headers = [(KEY, "k1")];
    let first = small.ann.post(small.site.entry(0), &headers, body.clone());
    let left = small
        .runtime
        .block_on(async { tokio::time::timeout(Duration::from_millis(150), first).await });
    assert!(left.is_err(), "the caller goes away in the middle");
    let again = small
        .runtime
        .block_on(small.ann.post(small.site.entry(1), &headers, body));
    assert_eq!(again.body.matches("\"delta\"").count(), 200);
    assert!(again.body.ends_with("code=0 outcome=run\n\n"));
    assert_eq!(small.max_runs(), 1);
}

#[test]
fn drawn_key() {
    let mut small = SmallSystem::start("drawn_key", 1, 3, 1);
    let body = Client::chat("m", "hello", 5, false);
    let first = small
        .runtime
        .block_on(small.ann.post(small.site.entry(0), &[], body.clone()));
    let key = first.header("curlewlift-key").to_owned();
    let headers = [(KEY, key.as_str())];
    for entry in 0..3 {
        let again = small
            .ann
            .post(small.site.entry(entry), &headers, body.clone());
        let again = small.runtime.block_on(again);
        assert_eq!(again.body, first.body, "entry {entry}");
        let path = format!("/curlewlift/requests/{key}");
        let state = small
            .ann
            .send(small.site.entry(entry), Method::GET, &path, &[], "");
        let state = small.runtime.block_on(state);
        assert!(state.body.contains("\"outcome\":\"run\""), "{}", state.body);
        let answer = format!("{path}/answer");
        let answer = small
            .ann
            .send(small.site.entry(entry), Method::GET, &answer, &[], "");
        assert_eq!(small.runtime.block_on(answer).body, first.body);
        let other = Client::chat("m", "other", 5, false);
        let other = small.ann.post(small.site.entry(entry), &headers, other);
        assert_eq!(
            small.runtime.block_on(other).header("curlewlift-code"),
            "5001"
        );
    }
    assert_eq!(small.max_runs(), 1);
    let unseen = Client::chat("m", "unseen", 5, false);
    let unseen = small
        .runtime
        .block_on(small.ann.post(small.site.entry(0), &[], unseen));
    let key = unseen.header("curlewlift-key").to_owned();
    let headers = [(KEY, key.as_str())];
    let body = Client::chat("m", "unseen", 5, false);
    small.site.kill_entry(0);
    small.site.wait_for_view(2);
    let lost = small
        .runtime
        .block_on(small.ann.post(small.site.entry(1), &headers, body));
    assert_eq!(
        lost.header("curlewlift-code"),
        "5003",
        "its entry is gone: {}",
        lost.body
    );
    assert_eq!(lost.header("curlewlift-outcome"), "unknown");
}

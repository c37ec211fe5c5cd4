//! Request keys. A caller that retries with the same key, at the same or another entry, must get
//! the response of the first request, and the request must run only once. Another body under the
//! same key is refused, and keys of different customers are independent.

mod support;

use std::time::Duration;

use axum::http::Method;
use curlewlift_lab::client::Client;

use support::SmallSystem;

const KEY_HEADER: &str = "idempotency-key";

#[test]
fn concurrent_requests() {
    let small = SmallSystem::start("concurrent_requests", 1, 3, 2);
    let body = Client::chat("m", "hello", 40, false);
    let send_to = |entry: usize| {
        let ann = small.ann.clone();
        let address = small.site.entry(entry);
        let body = body.clone();
        async move { ann.post(address, &[(KEY_HEADER, "k1")], body).await }
    };
    let (first, second) = small
        .runtime
        .block_on(async { tokio::join!(send_to(0), send_to(1)) });
    assert_eq!(
        (first.status, second.status),
        (200, 200),
        "{} {}",
        first.body,
        second.body
    );
    assert_eq!(first.body, second.body);
    assert_eq!(small.max_runs(), 1);
}

#[test]
fn retry_elsewhere() {
    let small = SmallSystem::start("retry_elsewhere", 1, 3, 1);
    let body = Client::chat("m", "hello", 5, true);
    let headers = [(KEY_HEADER, "k1")];
    let first = small.ann.post(small.site.entry(0), &headers, body.clone());
    let first = small.runtime.block_on(first);
    let retry = small.ann.post(small.site.entry(2), &headers, body);
    let retry = small.runtime.block_on(retry);
    assert_eq!(first.body, retry.body);
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
    let headers = [(KEY_HEADER, "k1")];
    let first = small.ann.post(
        small.site.entry(0),
        &headers,
        Client::chat("m", "a", 3, false),
    );
    assert_eq!(small.runtime.block_on(first).status, 200);
    for entry in 0..3 {
        let body = Client::chat("m", "b", 3, false);
        let refused =
            small
                .runtime
                .block_on(small.ann.post(small.site.entry(entry), &headers, body));
        assert_eq!(
            (refused.status, refused.header("curlewlift-code")),
            (422, "5001"),
            "{}",
            refused.body
        );
        assert_eq!(refused.header("curlewlift-outcome"), "not-run");
    }
    assert_eq!(small.engines[0].stats().runs.len(), 1);
}

#[test]
fn two_customers() {
    let small = SmallSystem::start("two_customers", 1, 3, 1);
    let headers = [(KEY_HEADER, "k1")];
    let body = Client::chat("m", "hello", 3, false);
    let ann = small
        .runtime
        .block_on(small.ann.post(small.site.entry(0), &headers, body.clone()));
    let path = "/curlewlift/requests/k1";
    let state = small
        .ben
        .send(small.site.entry(0), Method::GET, path, &[], "");
    let state = small.runtime.block_on(state);
    assert_eq!(
        (state.status, state.header("curlewlift-code")),
        (404, "5004")
    );
    let ben = small
        .runtime
        .block_on(small.ben.post(small.site.entry(0), &headers, body));
    assert_eq!((ann.status, ben.status), (200, 200));
    assert_eq!(small.engines[0].stats().runs.len(), 2);
}

#[test]
fn retry_after_disconnect() {
    let small = SmallSystem::start("retry_after_disconnect", 1, 3, 1);
    let body = Client::chat("m", "hello", 200, true);
    let headers = [(KEY_HEADER, "k1")];
    let first = small.ann.post(small.site.entry(0), &headers, body.clone());
    let timed_out = small
        .runtime
        .block_on(async { tokio::time::timeout(Duration::from_millis(150), first).await });
    assert!(
        timed_out.is_err(),
        "the caller disconnects before the response is complete"
    );
    let retry = small
        .runtime
        .block_on(small.ann.post(small.site.entry(1), &headers, body));
    assert_eq!(retry.body.matches("\"delta\"").count(), 200);
    assert!(retry.body.ends_with("code=0 outcome=run\n\n"));
    assert_eq!(small.max_runs(), 1);
}

#[test]
fn generated_key() {
    let mut small = SmallSystem::start("generated_key", 1, 3, 1);
    let body = Client::chat("m", "hello", 5, false);
    let first = small
        .runtime
        .block_on(small.ann.post(small.site.entry(0), &[], body.clone()));
    let key = first.header("curlewlift-key").to_owned();
    let headers = [(KEY_HEADER, key.as_str())];
    for entry in 0..3 {
        let retry = small
            .ann
            .post(small.site.entry(entry), &headers, body.clone());
        let retry = small.runtime.block_on(retry);
        assert_eq!(retry.body, first.body, "the response from entry {entry}");
        let path = format!("/curlewlift/requests/{key}");
        let state = small
            .ann
            .send(small.site.entry(entry), Method::GET, &path, &[], "");
        let state = small.runtime.block_on(state);
        assert!(state.body.contains("\"outcome\":\"run\""), "{}", state.body);
        let answer_path = format!("{path}/answer");
        let response = small
            .ann
            .send(small.site.entry(entry), Method::GET, &answer_path, &[], "");
        assert_eq!(small.runtime.block_on(response).body, first.body);
        let other_body = Client::chat("m", "other", 5, false);
        let refused = small
            .ann
            .post(small.site.entry(entry), &headers, other_body);
        assert_eq!(
            small.runtime.block_on(refused).header("curlewlift-code"),
            "5001"
        );
    }
    assert_eq!(small.max_runs(), 1);
    let unread_body = Client::chat("m", "unseen", 5, false);
    let unread = small
        .runtime
        .block_on(small.ann.post(small.site.entry(0), &[], unread_body));
    let key = unread.header("curlewlift-key").to_owned();
    let headers = [(KEY_HEADER, key.as_str())];
    let body = Client::chat("m", "unseen", 5, false);
    small.site.kill_entry(0);
    small.site.wait_for_view(2);
    let lost = small
        .runtime
        .block_on(small.ann.post(small.site.entry(1), &headers, body));
    assert_eq!(
        lost.header("curlewlift-code"),
        "5003",
        "the entry that generated the key has crashed: {}",
        lost.body
    );
    assert_eq!(lost.header("curlewlift-outcome"), "unknown");
}

//! Requests from a caller through an entry to a backend server and back: streamed, whole and plain.

mod support;

use curlewlift_lab::client::Client;

use support::SmallSystem;

#[test]
fn streamed_chat() {
    let small = SmallSystem::start("streamed_chat_path", 1, 1, 1);
    let body = Client::chat("m", "hello", 5, true);
    let reply = small
        .runtime
        .block_on(small.ann.post(small.site.entry(0), &[], body));
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert!(reply.whole);
    assert_eq!(reply.body.matches("\"delta\"").count(), 5, "{}", reply.body);
    assert!(reply.body.contains("data: [DONE]"));
    assert!(
        reply.body.ends_with(": curlewlift code=0 outcome=run\n\n"),
        "{}",
        reply.body
    );
}

#[test]
fn whole_chat() {
    let small = SmallSystem::start("whole_chat", 1, 1, 1);
    let body = Client::chat("m", "hello", 5, false);
    let reply = small
        .runtime
        .block_on(small.ann.post(small.site.entry(0), &[], body));
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert_eq!(reply.header("curlewlift-outcome"), "run");
    assert!(reply.body.contains("t0 t1 t2 t3 t4"));
}

#[test]
fn plain_call() {
    let small = SmallSystem::start("plain_call_path", 1, 1, 1);
    let method = "PUT".parse().expect("a method");
    let path = "/services/pay/a/b?c=d";
    let entry = small.site.entry(0);
    let reply = small
        .runtime
        .block_on(small.ann.send(entry, method, path, &[], "x"));
    assert_eq!((reply.status, reply.body.as_str()), (200, "PUT /a/b?c=d x"));
}

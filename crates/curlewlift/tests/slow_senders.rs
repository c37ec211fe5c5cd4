//! Callers that harm only themselves: connections that never complete their request, and one
//! customer that sends many requests at once. Other customers must be served as usual.

mod support;

use std::io::Write;
use std::net::TcpStream;

use curlewlift_lab::client::Client;
use support::SmallSystem;

#[test]
fn others_unharmed() {
    let small = SmallSystem::start("others_unharmed", 1, 1, 1);
    let entry = small.site.entry(0);
    let incomplete: Vec<_> = (0..300)
        .map(|number| {
            let mut stream = TcpStream::connect(entry).expect("connected");
            let beginning: &[u8] = match number % 2 {
                0 => b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n",
                _ => b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-ben\r\ncontent-length: 900\r\n\r\n{",
            };
            stream.write_all(beginning).expect("written");
            stream
        })
        .collect();
    for number in 0..5 {
        let body = Client::chat("m", &format!("hello {number}"), 2, false);
        let reply = small.runtime.block_on(small.ann.post(entry, &[], body));
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
    drop(incomplete);
}

#[test]
fn open_limit() {
    let mut small = SmallSystem::start("open_limit", 1, 1, 1);
    small.site.run("change customer ben open=5 rate=100000");
    small.site.wait_for_revision();
    let entry = small.site.entry(0);
    let send = |number: usize| {
        let ben = small.ben.clone();
        let key = format!("flood-{number}");
        async move {
            let body = Client::chat("m", "hello", 100, false);
            ben.post(entry, &[("idempotency-key", &key)], body).await
        }
    };
    let all = futures::future::join_all((0..200).map(send));
    let replies = small.runtime.block_on(all);
    let limited = replies
        .iter()
        .filter(|reply| reply.header("curlewlift-code") == "2003")
        .count();
    assert!(limited > 100, "{limited} of 200 requests were refused");
    let body = Client::chat("m", "calm", 2, false);
    let reply = small.runtime.block_on(small.ann.post(entry, &[], body));
    assert_eq!(reply.status, 200, "the other customer is still served");
}

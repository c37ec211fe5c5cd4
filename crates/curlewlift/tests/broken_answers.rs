//! Responses that break off, and servers that refuse. A broken stream is resumed if the server
//! still has it; otherwise the caller gets the outcome unknown, never a response that looks
//! complete. A refused request is attempted at another server.

mod support;

use axum::http::Method;
use curlewlift_lab::client::Client;
use curlewlift_lab::standin::Faults;

use support::SmallSystem;

#[test]
fn broken_stream() {
    let small = SmallSystem::start("broken_stream", 1, 1, 1);
    small.engines[0].set_faults(Faults {
        break_after: Some(300),
        ..Faults::default()
    });
    let body = Client::chat("m", "hello", 20, true);
    let reply = small
        .runtime
        .block_on(small.ann.post(small.site.entry(0), &[], body));
    assert_eq!(
        reply.body.matches("\"delta\"").count(),
        20,
        "{}",
        reply.body
    );
    assert!(reply.body.ends_with("code=0 outcome=run\n\n"));
    assert_eq!(small.max_runs(), 1);
}

#[test]
fn unresumable_stream() {
    let small = SmallSystem::start("unresumable_stream", 1, 1, 1);
    small.engines[0].set_faults(Faults {
        break_after: Some(300),
        lose_stream: true,
        ..Faults::default()
    });
    let body = Client::chat("m", "hello", 20, true);
    let reply = small
        .runtime
        .block_on(small.ann.post(small.site.entry(0), &[], body));
    assert!(reply.body.contains("\"number\":4002"), "{}", reply.body);
    assert!(reply.body.ends_with("code=4002 outcome=unknown\n\n"));
    assert!(!reply.body.contains("[DONE]"));
}

/// A stream that breaks off inside its last event has not ended, although that event can be recognized.
#[test]
fn cut_in_last_event() {
    let small = SmallSystem::start("cut_in_last_event", 1, 1, 1);
    let ask = |content| {
        let body = Client::chat("m", content, 20, true);
        let reply = small.ann.post(small.site.entry(0), &[], body);
        small.runtime.block_on(reply).body
    };
    let whole = ask("hello");
    let end = whole.find("[DONE]").expect("the last event") + "[DONE]".len();
    small.engines[0].set_faults(Faults {
        break_after: Some(end),
        lose_stream: true,
        ..Faults::default()
    });
    let cut = ask("world");
    assert!(cut.ends_with("code=4002 outcome=unknown\n\n"), "{cut}");
    assert!(!cut.contains("[DONE]"), "{cut}");
}

#[test]
fn short_response() {
    let small = SmallSystem::start("short_response", 1, 1, 1);
    small.engines[0].set_faults(Faults {
        truncate: true,
        ..Faults::default()
    });
    let body = Client::chat("m", "hello", 20, false);
    let reply = small
        .runtime
        .block_on(small.ann.post(small.site.entry(0), &[], body));
    assert_eq!(
        (reply.status, reply.header("curlewlift-code")),
        (502, "4002"),
        "{}",
        reply.body
    );
    assert_eq!(reply.header("curlewlift-outcome"), "unknown");
}

/// A status that no final response has is not forwarded.
#[test]
fn unknown_status() {
    for status in [600, 999] {
        let small = SmallSystem::start(&format!("unknown_status_{status}"), 1, 1, 1);
        small.engines[0].set_faults(Faults {
            status: Some(status),
            ..Faults::default()
        });
        let body = Client::chat("m", "hello", 20, false);
        let reply = small
            .runtime
            .block_on(small.ann.post(small.site.entry(0), &[], body));
        let code = (reply.status, reply.header("curlewlift-code"));
        assert_eq!(code, (502, "4002"), "{status}: {}", reply.body);
        assert_eq!(reply.header("curlewlift-outcome"), "unknown");
    }
}

#[test]
fn refusing_server() {
    let small = SmallSystem::start("refusing_server", 1, 1, 2);
    small.engines[0].set_faults(Faults {
        refuse: true,
        ..Faults::default()
    });
    for _ in 0..4 {
        let body = Client::chat("m", "hello", 2, false);
        let reply = small
            .runtime
            .block_on(small.ann.post(small.site.entry(0), &[], body));
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
    assert!(small.engines[0].stats().runs.is_empty());
    small.engines[1].set_faults(Faults {
        refuse: true,
        ..Faults::default()
    });
    let body = Client::chat("m", "hello", 2, false);
    let reply = small
        .runtime
        .block_on(small.ann.post(small.site.entry(0), &[], body));
    assert_eq!(reply.header("curlewlift-code"), "4001", "{}", reply.body);
    assert_eq!(reply.header("curlewlift-outcome"), "not-run");
}

#[test]
fn responses_matched() {
    let small = SmallSystem::start("responses_matched", 1, 2, 1);
    let send = |number: u64| {
        let ann = small.ann.clone();
        let address = small.site.entry(usize::from(number.is_multiple_of(2)));
        let path = format!("/services/pay/echo/{number}");
        async move {
            ann.send(address, Method::POST, &path, &[], number.to_string())
                .await
        }
    };
    for _ in 0..5 {
        let all = futures::future::join_all((0..40).map(send));
        for (number, reply) in small.runtime.block_on(all).into_iter().enumerate() {
            assert_eq!(reply.body, format!("POST /echo/{number} {number}"));
        }
    }
}

#[test]
fn refused_connection() {
    let mut small = SmallSystem::start("refused_connection", 1, 1, 1);
    // A port that was free a moment ago, so that nothing listens on it.
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let closed_port = free.local_addr().expect("an address");
    drop(free);
    small.site.run("create service away");
    small.site.create_server("a1", "away", closed_port, "");
    small.site.wait_for_revision();
    let address = small.site.entry(0);
    let refused = small
        .ann
        .send(address, Method::POST, "/services/away/x", &[], "");
    let refused = small.runtime.block_on(refused);
    assert_eq!(
        refused.header("curlewlift-code"),
        "4001",
        "{}",
        refused.body
    );
    assert_eq!(
        refused.header("curlewlift-outcome"),
        "not-run",
        "no byte of the request was sent"
    );
    // With a second server that is reachable, the requests go there.
    small
        .site
        .create_server("a2", "away", small.plain.address(), "");
    small.site.wait_for_revision();
    for number in 0..4 {
        let path = format!("/services/away/{number}");
        let reply = small.ann.send(address, Method::POST, &path, &[], "");
        let reply = small.runtime.block_on(reply);
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
}

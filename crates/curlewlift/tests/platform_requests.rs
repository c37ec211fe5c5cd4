//! Requests in the platform's wire format, sent through a gateway to engines that fail in various ways: the gateway
//! must not run a request twice, lose stream events or deliver a truncated response as complete.

mod platform;

use platform::Answer;
use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::folder;
use platform::send_request;
use platform::wait;

/// Hosts with an active configuration, and the two engines of the service `chat`.
struct Deployment {
    hosts: Hosts,
    engines: [Engine; 2],
}

impl Deployment {
    fn start(name: &str) -> Self {
        let engines = [Engine::start("i-1"), Engine::start("i-2")];
        let server_list: Vec<_> = engines.iter().map(|engine| (engine, "chat")).collect();
        let hosts = Hosts::start(folder(name), &server_list);
        hosts.configure(&document(7).to_string());
        Self { hosts, engines }
    }

    /// Sends one request of the customer `ann` on a route; `play` selects how the engines respond.
    fn play(&self, route: &str, play: &str) -> Answer {
        let head = format!(
            "POST /{route}/path?q=1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {play}-1\r\n\
             X-Play: {play}\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer key-ann"
        );
        send_request(self.hosts.callers(0), &head, "question")
    }

    /// The number of requests that reached an engine.
    fn received(&self) -> usize {
        self.engines
            .iter()
            .map(|engine| engine.received().len())
            .sum()
    }
}

#[test]
fn forwarded_unchanged() {
    let deployment = Deployment::start("forwarded_unchanged");
    let head = "POST /safe/a%20b?x=%2F HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: one\r\n\
                X-Deadline-Ms: 5000\r\nAuthorization: Bearer key-ann\r\nX-Tenant: forged\r\n\
                X-Hold: forged\r\nKv-From: forged\r\nX-Model: m\r\nX-Token-Counts: 10,20";
    let answer = send_request(deployment.hosts.callers(1), head, "the body");
    assert_eq!((answer.status, answer.body.as_str()), (200, "done"));
    assert_eq!(answer.header("x-response-signature"), Some("sealed"));
    let received = deployment.engines.iter().flat_map(Engine::received);
    let received: Vec<_> = received.collect();
    assert_eq!(received.len(), 1);
    assert!(
        received[0]
            .head
            .starts_with("POST /safe/a%20b?x=%2F HTTP/1.1\r\n")
    );
    assert_eq!(received[0].body, "the body");
    assert_eq!(received[0].header("x-tenant"), Some("ann"));
    assert_eq!(received[0].header("x-model"), Some("m"));
    assert_eq!(received[0].header("x-attempt-id"), Some("one"));
    for removed in ["authorization", "x-hold", "kv-from"] {
        assert_eq!(received[0].header(removed), None, "{removed}");
    }
    let timeout_ms: u64 = received[0]
        .header("x-deadline-ms")
        .and_then(|timeout_ms| timeout_ms.parse().ok())
        .expect("the deadline header is set");
    assert!(timeout_ms <= 5000);
}

#[test]
fn not_run_goes_elsewhere() {
    let deployment = Deployment::start("not_run_goes_elsewhere");
    for round in 0..8 {
        let answer = deployment.play("once", "first=shed");
        assert_eq!(
            (answer.status, answer.body.as_str()),
            (200, "done"),
            "{round}"
        );
    }
    let answer = deployment.play("once", "shed");
    assert_eq!(answer.status, 503);
    assert!(
        answer.header("retry-after").is_some(),
        "the request did not run"
    );
}

#[test]
fn unknown_runs_once() {
    let deployment = Deployment::start("unknown_runs_once");
    for (number, play) in ["close", "short", "foreign", "unsigned"]
        .into_iter()
        .enumerate()
    {
        let answer = deployment.play("once", play);
        assert_eq!(answer.status, 502, "{play}");
        assert_eq!(
            answer.header("retry-after"),
            None,
            "{play}: the request may have run"
        );
        assert_eq!(answer.header("x-response-signature"), None, "{play}");
        assert_eq!(
            deployment.received(),
            number + 1,
            "{play}: the request was sent once"
        );
    }
}

#[test]
fn safe_goes_elsewhere() {
    let deployment = Deployment::start("safe_goes_elsewhere");
    for play in ["first=close", "first=short", "first=foreign", "first=fail"] {
        for round in 0..4 {
            let answer = deployment.play("safe", play);
            assert_eq!(
                (answer.status, answer.body.as_str()),
                (200, "done"),
                "{play} {round}"
            );
        }
    }
    let answer = deployment.play("safe", "fail");
    assert_eq!(
        (answer.status, answer.body.as_str()),
        (500, "failed"),
        "the error response is the engine's own"
    );
}

#[test]
fn surplus_bytes_ignored() {
    let deployment = Deployment::start("surplus_bytes_ignored");
    for _ in 0..4 {
        assert_eq!(deployment.play("once", "surplus").body, "right");
        assert_eq!(deployment.play("once", "answer").body, "done");
    }
}

#[test]
fn stream_complete() {
    let deployment = Deployment::start("stream_complete");
    let answer = deployment.play("stream", "events");
    assert!(answer.whole);
    let events: Vec<_> = (1..7).map(|n| format!("id: {n}\ndata: e{n}\n\n")).collect();
    assert_eq!(answer.body, events.concat());
}

#[test]
fn stream_truncated() {
    let deployment = Deployment::start("stream_truncated");
    let answer = deployment.play("stream", "break");
    assert_eq!(answer.status, 200);
    assert!(
        !answer.whole,
        "a truncated stream must not end like a complete one"
    );
    assert_eq!(deployment.received(), 1);
}

#[test]
fn stream_resumed() {
    let deployment = Deployment::start("stream_resumed");
    let answer = deployment.play("resume", "break");
    assert!(answer.whole);
    let events: Vec<_> = (1..7).map(|n| format!("id: {n}\ndata: e{n}\n\n")).collect();
    assert_eq!(
        answer.body,
        events.concat(),
        "no event is lost or duplicated"
    );
    assert_eq!(deployment.received(), 2);
}

#[test]
fn caller_disconnects() {
    let deployment = Deployment::start("caller_disconnects");
    let address = deployment.hosts.callers(0);
    let head = "POST /once/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: gone\r\nX-Play: hang\r\n\
                X-Deadline-Ms: 5000\r\nAuthorization: Bearer key-ann\r\nContent-Length: 0\r\n\r\n";
    let mut stream = std::net::TcpStream::connect(address).expect("a connection");
    std::io::Write::write_all(&mut stream, head.as_bytes()).expect("written");
    wait("the request reaches an engine", || {
        deployment.received() == 1
    });
    drop(stream);
    wait("the connection to the engine is closed", || {
        deployment
            .engines
            .iter()
            .any(|engine| engine.abandoned_count() == 1)
    });
}

#[test]
fn deadline_passes() {
    let deployment = Deployment::start("deadline_passes");
    let answer = deployment.play("brief", "hang");
    assert_eq!(answer.status, 504);
    assert_eq!(
        answer.header("retry-after"),
        None,
        "the request may have run"
    );
}

#[test]
fn invalid_requests_rejected() {
    let deployment = Deployment::start("invalid_requests_rejected");
    let status = |request_line: &str, headers: &str| {
        let head =
            format!("{request_line} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a{headers}");
        send_request(deployment.hosts.callers(0), &head, "").status
    };
    let ann = "\r\nAuthorization: Bearer key-ann";
    assert_eq!(status("GET /safe/", ""), 401);
    assert_eq!(status("GET /safe/", "\r\nAuthorization: Bearer other"), 401);
    assert_eq!(status("GET /nothing/", ann), 404);
    assert_eq!(
        status("GET /safe/", &format!("{ann}\r\nX-Deadline-Ms: soon")),
        400
    );
    assert_eq!(
        status("GET /safe/", &format!("{ann}\r\nX-Token-Counts: 1")),
        400
    );
    assert_eq!(status("GET /open/", ""), 200);
    assert_eq!(status("GET /safe/", ann), 200);
    assert_eq!(deployment.received(), 2);
    let large_body = "x".repeat(100_001);
    let head = format!("POST /safe/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a{ann}");
    assert_eq!(
        send_request(deployment.hosts.callers(0), &head, &large_body).status,
        413
    );
}

#[test]
fn quota_exhausted() {
    let deployment = Deployment::start("quota_exhausted");
    let head = "GET /safe/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a\r\n\
                Authorization: Bearer key-ben";
    // The quota is 250 tokens, plus what is refilled meanwhile; each request costs 100.
    let statuses: Vec<_> = (0..8)
        .map(|_| send_request(deployment.hosts.callers(0), head, "").status)
        .collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!((2..=3).contains(&served), "{statuses:?}");
    let answer = send_request(deployment.hosts.callers(0), head, "");
    assert_eq!(answer.status, 429);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(
        deployment.play("safe", "answer").status,
        200,
        "other customers are not affected"
    );
}

/// Token counts whose sum overflows must not be charged as zero.
#[test]
fn token_count_overflow() {
    let deployment = Deployment::start("token_count_overflow");
    let head = "GET /safe/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a\r\n\
                X-Token-Counts: 18446744073709551615,2\r\nAuthorization: Bearer key-ben";
    let statuses: Vec<_> = (0..4)
        .map(|_| send_request(deployment.hosts.callers(0), head, "").status)
        .collect();
    let refused = statuses.iter().filter(|status| **status == 429).count();
    assert!(refused >= 3, "{statuses:?}");
}

/// A request that costs more than its customer's quota ever allows is not sent, and its caller is not told to return.
#[test]
fn cost_beyond_quota() {
    let deployment = Deployment::start("cost_beyond_quota");
    // In 8 s the quota allows 258 tokens, and a tenth more are tolerated.
    for (tokens, is_possible) in [("200,83", true), ("200,84", false), ("9999999,1", false)] {
        let received = deployment.received();
        let head = format!(
            "GET /safe/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a\r\n\
             X-Token-Counts: {tokens}\r\nAuthorization: Bearer key-ben"
        );
        let answer = send_request(deployment.hosts.callers(0), &head, "");
        let has_code = answer.body.contains("\"code\":2006");
        assert_eq!(has_code, !is_possible, "{}", answer.body);
        if !is_possible {
            assert_eq!(answer.status, 429, "{}", answer.body);
            assert_eq!(answer.header("retry-after"), None, "{}", answer.head);
            assert_eq!(deployment.received(), received, "{tokens}");
        }
    }
}

#[test]
fn draining_gets_none() {
    let deployment = Deployment::start("draining_gets_none");
    deployment.hosts.drain(&deployment.engines[0]);
    let received = |engine: &Engine| engine.received().len();
    wait("no host sends requests to the first engine", || {
        let before = received(&deployment.engines[0]);
        (0..12).for_each(|_| drop(deployment.play("safe", "answer")));
        received(&deployment.engines[0]) == before
    });
}

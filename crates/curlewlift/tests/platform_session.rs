//! A complete session in the platform's wire format, compared with its golden file.

#[path = "support/golden.rs"]
#[allow(dead_code)]
mod golden;
mod platform;

use platform::Answer;
use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::folder;
use platform::send_request;
use platform::wait;

use golden::Session;

/// The response headers that the session records.
const SHOWN_HEADERS: [&str; 5] = [
    "content-type",
    "retry-after",
    "x-attempt-id",
    "x-response-signature",
    "connection",
];

/// Records a request and its response in the session.
fn record(session: &mut Session, request: &str, answer: &Answer) {
    session.record_action(request);
    session.record_lines(&answer.status.to_string());
    for name in SHOWN_HEADERS {
        if let Some(value) = answer.header(name) {
            session.record_lines(&format!("{name}: {value}"));
        }
    }
    let suffix = if answer.whole { "" } else { " (cut)" };
    session.record_lines(&format!("{}{suffix}", answer.body.trim_end()));
}

/// The head of a request on a route; `play` selects how the engine responds.
fn request(route: &str, play: &str, key: &str) -> String {
    format!(
        "POST /{route}/a HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {route}-{play}\r\n\
         X-Play: {play}\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer {key}"
    )
}

#[test]
fn whole_session() {
    let engines = [Engine::start("i-1"), Engine::start("i-2")];
    let server_list: Vec<_> = engines.iter().map(|engine| (engine, "chat")).collect();
    let hosts = Hosts::start(folder("whole_session"), &server_list);
    hosts.configure(&document(7).to_string());
    let mut session = Session::default();
    let resolve = "GET /api/resolve?name=shop.example&zone=none HTTP/1.1\r\nHost: x";
    wait("the directory names all hosts", || {
        send_request(hosts.directory(0), resolve, "")
            .body
            .matches(':')
            .count()
            == 5
    });
    let plays = [
        ("safe", "answer", "key-ann"),
        ("safe", "first=close", "key-ann"),
        ("safe", "fail", "key-ann"),
        ("once", "close", "key-ann"),
        ("once", "shed", "key-ann"),
        ("stream", "events", "key-ann"),
        ("resume", "break", "key-ann"),
        ("brief", "hang", "key-ann"),
        ("safe", "answer", "no-key"),
        ("none", "answer", "key-ann"),
    ];
    for (route, play, key) in plays {
        let answer = send_request(hosts.callers(0), &request(route, play, key), "question");
        record(&mut session, &format!("{route}, {play}, {key}"), &answer);
    }
    let put = "POST /api/config/put HTTP/1.1\r\nHost: x";
    let mut invalid = document(9);
    invalid["routes"][0]["service"] = serde_json::json!("none");
    let answer = send_request(hosts.control(1), put, &invalid.to_string());
    record(&mut session, "put 9, with an unknown service", &answer);
    let answer = send_request(hosts.control(1), put, &document(8).to_string());
    record(&mut session, "put 8", &answer);
    let answer = send_request(hosts.control(2), put, &document(6).to_string());
    record(&mut session, "put 6, which is older", &answer);
    let get = "GET /api/config/get HTTP/1.1\r\nHost: x";
    let answer = send_request(hosts.control(0), get, "");
    assert_eq!(answer.body, document(8).to_string());
    session.check("platform_session");
}

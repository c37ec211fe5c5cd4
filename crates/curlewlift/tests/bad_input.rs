//! Invalid requests: each is refused with its own result code, and the entry serves valid requests
//! afterwards.

mod support;

use axum::http::Method;
use curlewlift_lab::client::Client;

use support::SmallSystem;

/// Method, path, headers and body of a request, and the expected result code.
type Case<'a> = (Method, &'a str, Vec<(&'a str, &'a str)>, &'a str, &'a str);

#[test]
fn numbered_refusals() {
    let small = SmallSystem::start("numbered_refusals", 1, 1, 1);
    let entry = small.site.entry(0);
    let chat = "/v1/chat/completions";
    let valid_body = Client::chat("m", "hi", 1, false);
    let large_body = "x".repeat(5 << 20);
    let cases: Vec<Case<'_>> = vec![
        (Method::POST, chat, vec![], "no json", "1001"),
        (Method::POST, chat, vec![], "[1]", "1001"),
        (Method::POST, chat, vec![], "{\"model\":1}", "1001"),
        (Method::POST, chat, vec![], "{\"messages\":[]}", "1002"),
        (Method::POST, chat, vec![], "{\"model\":\"m\"}", "1002"),
        (
            Method::POST,
            chat,
            vec![],
            "{\"model\":\"x\",\"messages\":[{}]}",
            "1005",
        ),
        (
            Method::POST,
            chat,
            vec![],
            "{\"model\":\"m\",\"messages\":[{}],\"max_tokens\":0}",
            "1001",
        ),
        (Method::POST, chat, vec![], &large_body, "1008"),
        (Method::GET, chat, vec![], "", "1004"),
        (Method::GET, "/nothing", vec![], "", "1007"),
        (Method::POST, "/services/none/x", vec![], "", "1006"),
        (
            Method::POST,
            chat,
            vec![("curlewlift-deadline-ms", "-1")],
            &valid_body,
            "1010",
        ),
        (
            Method::POST,
            chat,
            vec![("curlewlift-deadline-ms", "soon")],
            &valid_body,
            "1003",
        ),
        (
            Method::POST,
            chat,
            vec![("idempotency-key", "a"), ("idempotency-key", "b")],
            &valid_body,
            "1003",
        ),
        (
            Method::POST,
            chat,
            vec![("curlewlift-deadline-ms", "1")],
            &valid_body,
            "3002",
        ),
    ];
    for (method, path, headers, body, code) in cases {
        let response = small
            .ann
            .send(entry, method, path, &headers, body.to_owned());
        let reply = small.runtime.block_on(response);
        let excerpt = body.get(..40).unwrap_or(body);
        assert_eq!(
            reply.header("curlewlift-code"),
            code,
            "{path} {excerpt}: {}",
            reply.body
        );
        assert_eq!(
            reply.header("curlewlift-outcome"),
            "not-run",
            "{path} {excerpt}"
        );
        assert!(reply.body.contains("\"error\""), "{}", reply.body);
    }
    let stranger = Client::new("nobody's");
    let reply = small
        .runtime
        .block_on(stranger.post(entry, &[], valid_body.clone()));
    assert_eq!(
        (reply.status, reply.header("curlewlift-code")),
        (401, "2001")
    );
    let reply = small
        .runtime
        .block_on(small.ann.post(entry, &[], valid_body));
    assert_eq!(
        reply.status, 200,
        "a valid request after the invalid ones: {}",
        reply.body
    );
}

//! The announcements of backend servers in the headers of their responses: backoff, draining, rate limit; and the parts
//! of a prompt in the headers of a request.

use std::time::Duration;

use axum::http::HeaderMap;
use axum::http::HeaderName;
use axum::http::HeaderValue;
use curlewlift_core::limit::Announcement;
use curlewlift_core::pool::Notice;

use super::parse_response;
use super::shared_parts;

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let pairs = pairs.iter().map(|(name, value)| {
        let name = HeaderName::from_static(name);
        (name, HeaderValue::from_static(value))
    });
    pairs.collect()
}

/// The notices in a response with these `Retry-After` values.
fn backoffs(status: u16, values: &[&'static str]) -> Vec<Notice> {
    let pairs: Vec<_> = values.iter().map(|value| ("retry-after", *value)).collect();
    parse_response(status, &headers(&pairs)).notices
}

#[test]
fn valid_backoffs() {
    let backoff = |millis| Notice::Backoff(Duration::from_millis(millis));
    assert_eq!(backoffs(503, &["3"]), [backoff(3_000)]);
    assert_eq!(backoffs(503, &[" 0.25 "]), [backoff(250)]);
    assert_eq!(backoffs(429, &["2"]), [backoff(2_000)]);
    assert_eq!(backoffs(503, &["1", "4"]), [backoff(1_000), backoff(4_000)]);
    assert_eq!(backoffs(503, &["1e300"]), [Notice::Backoff(Duration::MAX)]);
    assert_eq!(backoffs(503, &[]), []);
    // With these statuses the server ran the request, or passes on another server's backoff.
    assert_eq!(backoffs(200, &["3"]), []);
    assert_eq!(backoffs(500, &["3"]), []);
}

#[test]
fn invalid_backoffs() {
    for invalid in [
        "",
        "soon",
        "-3",
        "NaN",
        "inf",
        "3 s",
        "Wed, 21 Oct 2026 07:28:00 GMT",
    ] {
        assert_eq!(
            backoffs(503, &[invalid]),
            [Notice::Unreadable(invalid.to_owned())]
        );
    }
}

#[test]
fn draining() {
    for status in [200, 421, 500, 503] {
        let notices =
            |value| parse_response(status, &headers(&[("server-leaving", value)])).notices;
        assert_eq!(notices("1"), [Notice::Draining], "{status}");
        assert_eq!(notices("0"), [], "{status}");
    }
}

/// The limit announced by a response with these `Server-Limit` values.
fn announced_limit(values: &[&'static str]) -> Announcement {
    let pairs: Vec<_> = values
        .iter()
        .map(|value| ("server-limit", *value))
        .collect();
    parse_response(200, &headers(&pairs)).limit
}

#[test]
fn valid_limits() {
    let limited = |text: &str| Announcement::Limited(text.parse().expect("a rate"));
    for text in ["0", "0.2", "3", "1e9"] {
        assert_eq!(announced_limit(&[text]), limited(text));
    }
    assert_eq!(announced_limit(&[" 2.9 "]), limited("2.9"));
    assert_eq!(announced_limit(&["4", "2", "3"]), limited("2"));
    assert_eq!(announced_limit(&["none", "2"]), limited("2"));
    assert_eq!(announced_limit(&["2", "none"]), limited("2"));
    assert_eq!(announced_limit(&[]), Announcement::NoLimit);
}

#[test]
fn invalid_limits() {
    for invalid in ["", "few", "-3", "NaN", "inf", "3 a second", "1,5"] {
        assert_eq!(
            announced_limit(&[invalid]),
            Announcement::Invalid(invalid.to_owned())
        );
    }
}

#[test]
fn parts_of_prompts() {
    let cases = [
        (
            "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
            "5c1e07a2,91bd3f06",
        ),
        (" A:1 , b : 2 ,c:3", "a,b"),
        ("a:1", ""),
        ("", ""),
        ("a:1,a:1,b:2", "a"),
        ("a:1,b:2,a:1", "a,b"),
        // What can't be read in full names no part.
        ("a:1,b,c:3", ""),
        ("a:1,b:x,c:3", ""),
        ("a:1,,c:3", ""),
    ];
    for (header, expected) in cases {
        let parts = shared_parts(&headers(&[("x-prompt-prefix", header)]));
        let parts: Vec<_> = parts.iter().map(ToString::to_string).collect();
        assert_eq!(parts.join(","), expected, "{header}");
    }
    assert!(shared_parts(&HeaderMap::new()).is_empty());
    let twice = [
        ("x-prompt-prefix", "a:1,b:2"),
        ("x-prompt-prefix", "c:1,d:2"),
    ];
    assert!(shared_parts(&headers(&twice)).is_empty(), "stated twice");
}

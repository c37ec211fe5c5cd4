//! What answers say of the server that gave them.

use std::time::Duration;

use axum::http::HeaderMap;
use axum::http::HeaderName;
use axum::http::HeaderValue;
use curlewlift_core::limit::Announcement;
use curlewlift_core::pool::Notice;

use super::parse_response;

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let pairs = pairs.iter().map(|(name, value)| {
        let name = HeaderName::from_static(name);
        (name, HeaderValue::from_static(value))
    });
    pairs.collect()
}

/// What an answer with these times says.
fn rests(status: u16, values: &[&'static str]) -> Vec<Notice> {
    let pairs: Vec<_> = values.iter().map(|value| ("retry-after", *value)).collect();
    parse_response(status, &headers(&pairs)).notices
}

#[test]
fn asks_for_rest() {
    let rest = |millis| Notice::Backoff(Duration::from_millis(millis));
    assert_eq!(rests(503, &["3"]), [rest(3_000)]);
    assert_eq!(rests(503, &[" 0.25 "]), [rest(250)]);
    assert_eq!(rests(429, &["2"]), [rest(2_000)]);
    assert_eq!(rests(503, &["1", "4"]), [rest(1_000), rest(4_000)]);
    assert_eq!(rests(503, &["1e300"]), [Notice::Backoff(Duration::MAX)]);
    assert_eq!(rests(503, &[]), []);
    // It ran the request, or passes on what another asked for.
    assert_eq!(rests(200, &["3"]), []);
    assert_eq!(rests(500, &["3"]), []);
}

#[test]
fn odd_times() {
    for odd in [
        "",
        "soon",
        "-3",
        "NaN",
        "inf",
        "3 s",
        "Wed, 21 Oct 2026 07:28:00 GMT",
    ] {
        assert_eq!(rests(503, &[odd]), [Notice::Unreadable(odd.to_owned())]);
    }
}

#[test]
fn leaves() {
    for status in [200, 421, 500, 503] {
        let says = |value| parse_response(status, &headers(&[("server-leaving", value)])).notices;
        assert_eq!(says("1"), [Notice::Draining], "{status}");
        assert_eq!(says("0"), [], "{status}");
    }
}

/// What an answer with these limits says.
fn limits(values: &[&'static str]) -> Announcement {
    let pairs: Vec<_> = values
        .iter()
        .map(|value| ("server-limit", *value))
        .collect();
    parse_response(200, &headers(&pairs)).limit
}

#[test]
fn names_limit() {
    let named = |text: &str| Announcement::Limited(text.parse().expect("a rate"));
    for text in ["0", "0.2", "3", "1e9"] {
        assert_eq!(limits(&[text]), named(text));
    }
    assert_eq!(limits(&[" 2.9 "]), named("2.9"));
    assert_eq!(limits(&["4", "2", "3"]), named("2"));
    assert_eq!(limits(&["none", "2"]), named("2"));
    assert_eq!(limits(&["2", "none"]), named("2"));
    assert_eq!(limits(&[]), Announcement::NoLimit);
}

#[test]
fn odd_limits() {
    for odd in ["", "few", "-3", "NaN", "inf", "3 a second", "1,5"] {
        assert_eq!(limits(&[odd]), Announcement::Invalid(odd.to_owned()));
    }
}

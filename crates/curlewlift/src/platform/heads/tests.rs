//! What answers say of the server that gave them.

use std::time::Duration;

use axum::http::HeaderMap;
use axum::http::HeaderName;
use axum::http::HeaderValue;
use curlewlift_core::pool::Notice;

use super::marks;

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
    marks(status, &headers(&pairs)).notices
}

#[test]
fn asks_for_rest() {
    let rest = |millis| Notice::Rest(Duration::from_millis(millis));
    assert_eq!(rests(503, &["3"]), [rest(3_000)]);
    assert_eq!(rests(503, &[" 0.25 "]), [rest(250)]);
    assert_eq!(rests(429, &["2"]), [rest(2_000)]);
    assert_eq!(rests(503, &["1", "4"]), [rest(1_000), rest(4_000)]);
    assert_eq!(rests(503, &["1e300"]), [Notice::Rest(Duration::MAX)]);
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
        let says = |value| marks(status, &headers(&[("server-leaving", value)])).notices;
        assert_eq!(says("1"), [Notice::Leaves], "{status}");
        assert_eq!(says("0"), [], "{status}");
    }
}

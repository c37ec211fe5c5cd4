//! What answers say of the server that gave them.

use std::time::Duration;

use axum::http::HeaderMap;
use axum::http::HeaderName;
use axum::http::HeaderValue;

use super::marks;

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let pairs = pairs.iter().map(|(name, value)| {
        let name = HeaderName::from_static(name);
        (name, HeaderValue::from_static(value))
    });
    pairs.collect()
}

#[test]
fn asks_for_rest() {
    let rest = |status, values: &[&'static str]| {
        let pairs: Vec<_> = values.iter().map(|value| ("retry-after", *value)).collect();
        marks(status, &headers(&pairs)).rest
    };
    assert_eq!(rest(503, &["3"]), Some(Duration::from_secs(3)));
    assert_eq!(rest(503, &[" 0.25 "]), Some(Duration::from_millis(250)));
    assert_eq!(rest(429, &["2"]), Some(Duration::from_secs(2)));
    assert_eq!(rest(503, &["1", "4", "2"]), Some(Duration::from_secs(4)));
    assert_eq!(rest(503, &["soon", "2"]), Some(Duration::from_secs(2)));
    assert_eq!(rest(503, &["1e300"]), Some(Duration::MAX));
    assert_eq!(rest(503, &[]), None);
    // It ran the request, or passes on what another asked for.
    assert_eq!(rest(200, &["3"]), None);
    assert_eq!(rest(500, &["3"]), None);
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
        let marks = marks(503, &headers(&[("retry-after", odd)]));
        assert_eq!(marks.rest, None, "{odd}");
        assert_eq!(marks.odd_rest.as_deref(), Some(odd));
    }
    let right = marks(503, &headers(&[("retry-after", "3")]));
    assert_eq!(right.odd_rest, None);
}

#[test]
fn leaves() {
    for status in [200, 421, 500, 503] {
        let says = |value| marks(status, &headers(&[("server-leaving", value)])).leaves;
        assert!(says("1") && !says("0"), "{status}");
        assert!(!marks(status, &HeaderMap::new()).leaves);
    }
}

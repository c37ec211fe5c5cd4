//! Helpers for the platform's HTTP responses.

use std::time::Duration;

use axum::http::HeaderValue;
use axum::http::Response;
use axum::http::StatusCode;
use axum::http::header;
use curlewlift_core::code::Refusal;

use crate::gateway;
use crate::gateway::Answer;
use crate::gateway::full;

/// The `Retry-After` of a response with status 503, in seconds.
const RETRY_AFTER_SECONDS: &str = "0.2";

/// Parses a time in seconds, with or without a fraction; none if the text is not such a time.
pub(super) fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    if !seconds.is_finite() || seconds < 0.0 {
        return None;
    }
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// A response without a body.
pub(super) fn empty(status: StatusCode) -> Answer {
    text(status, "")
}

/// A response with a text as its body.
pub(super) fn text(status: StatusCode, body: &'static str) -> Answer {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    response
}

/// The response for a refusal; one with status 503 says when to retry.
pub(super) fn refused(refusal: &Refusal) -> Answer {
    let mut response = gateway::refusal_response(refusal, None);
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        let retry_after = HeaderValue::from_static(RETRY_AFTER_SECONDS);
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, retry_after);
    }
    response
}

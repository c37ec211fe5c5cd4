//! What the platform's small answers have in common.

use std::time::Duration;

use axum::http::HeaderValue;
use axum::http::Response;
use axum::http::StatusCode;
use axum::http::header;
use curlewlift_core::code::Refusal;

use crate::gateway;
use crate::gateway::Answer;
use crate::gateway::full;

/// Before an operator or caller asks again where nobody could answer, in seconds.
const AGAIN: &str = "0.2";

/// A time in seconds, with a fraction or without; none where the text is no such time.
pub(super) fn seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    if !seconds.is_finite() || seconds < 0.0 {
        return None;
    }
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// An answer without a body.
pub(super) fn empty(status: StatusCode) -> Answer {
    let mut answer = Response::new(full(""));
    *answer.status_mut() = status;
    answer
}

/// A refusal, with the time after which to ask again where nobody could answer.
pub(super) fn refused(refusal: &Refusal) -> Answer {
    let mut answer = gateway::refusal_response(refusal, None);
    if answer.status() == StatusCode::SERVICE_UNAVAILABLE {
        let again = HeaderValue::from_static(AGAIN);
        answer.headers_mut().insert(header::RETRY_AFTER, again);
    }
    answer
}

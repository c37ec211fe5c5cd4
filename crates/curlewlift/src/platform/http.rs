//! What the platform's small answers have in common.

use axum::http::HeaderValue;
use axum::http::Response;
use axum::http::StatusCode;
use axum::http::header;
use curlewlift_core::code::Refusal;

use crate::gateway;
use crate::gateway::Answer;
use crate::gateway::whole;

/// Before an operator or caller asks again where nobody could answer, in seconds.
const AGAIN: &str = "0.2";

/// An answer without a body.
pub(super) fn empty(status: StatusCode) -> Answer {
    let mut answer = Response::new(whole(""));
    *answer.status_mut() = status;
    answer
}

/// A refusal, with the time after which to ask again where nobody could answer.
pub(super) fn refused(refusal: &Refusal) -> Answer {
    let mut answer = gateway::refuse(refusal, None);
    if answer.status() == StatusCode::SERVICE_UNAVAILABLE {
        let again = HeaderValue::from_static(AGAIN);
        answer.headers_mut().insert(header::RETRY_AFTER, again);
    }
    answer
}

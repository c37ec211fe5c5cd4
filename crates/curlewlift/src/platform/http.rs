//! What the platform's small answers have in common.

use axum::http::HeaderValue;
use axum::http::Response;
use axum::http::StatusCode;
use axum::http::header;
use curlewlift_core::code::Refusal;

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

/// An answer with a JSON body.
pub(super) fn json(body: String) -> Answer {
    let mut answer = Response::new(whole(body));
    let kind = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}

/// A refusal; `status` where it is not the code's own.
pub(super) fn refused(refusal: &Refusal) -> Answer {
    let code = refusal.get_code();
    let body = serde_json::json!({
        "code": code.number(),
        "name": code.name(),
        "error": refusal.get_detail(),
    });
    let mut answer = json(body.to_string());
    let status = StatusCode::from_u16(code.status());
    let status = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    *answer.status_mut() = status;
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let again = HeaderValue::from_static(AGAIN);
        answer.headers_mut().insert(header::RETRY_AFTER, again);
    }
    answer
}

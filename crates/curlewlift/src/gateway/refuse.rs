//! Responses with which the gateway itself refuses a request.

use std::time::Duration;

use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use serde_json::json;

use super::body;
use super::body::Answer;

/// The response for a refusal: its code and reason, and when to retry, if that is known.
pub(crate) fn refusal_response(refusal: &Refusal, retry_after: Option<Duration>) -> Answer {
    let code = refusal.get_code();
    let body = json!({
        "code": code.number(),
        "name": code.name(),
        "error": refusal.get_detail(),
    });
    let mut response = body::json(body.to_string());
    *response.status_mut() =
        StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if let Some(retry_after) = retry_after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64()))
    {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// A refusal, with the time after which the caller may retry if the request certainly did not run.
#[derive(Debug)]
pub(super) struct Refused {
    pub(super) refusal: Refusal,
    pub(super) retry_after: Option<Duration>,
}

impl Refused {
    /// A refusal without a time to retry.
    pub(super) fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            refusal: Refusal::new(code, detail),
            retry_after: None,
        }
    }

    /// Adds the time after which the caller may retry.
    pub(super) fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            retry_after: None,
        }
    }
}

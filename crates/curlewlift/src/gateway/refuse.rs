//! Answers of this gateway's own.

use std::time::Duration;

use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use serde_json::json;

use super::body;
use super::body::Answer;

/// An answer that tells why, and when to come back where that is known.
pub(crate) fn refuse(refusal: &Refusal, again: Option<Duration>) -> Answer {
    let code = refusal.get_code();
    let body = json!({
        "code": code.number(),
        "name": code.name(),
        "error": refusal.get_detail(),
    });
    let mut answer = body::json(body.to_string());
    *answer.status_mut() =
        StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if let Some(again) = again
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", again.as_secs_f64()))
    {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// A refusal with the time after which to come back, where the request surely has not run.
#[derive(Debug)]
pub(super) struct Refused {
    pub(super) refusal: Refusal,
    pub(super) again: Option<Duration>,
}

impl Refused {
    pub(super) fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            refusal: Refusal::new(code, detail),
            again: None,
        }
    }

    pub(super) fn again(mut self, again: Duration) -> Self {
        self.again = Some(again);
        self
    }
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            again: None,
        }
    }
}

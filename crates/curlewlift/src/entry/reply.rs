//! Writes responses to callers, with refusals as the error body of the completions API.

use std::convert::Infallible;

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::HeaderName;
use axum::http::HeaderValue;
use axum::http::Response;
use axum::http::StatusCode;
use axum::http::header;
use bytes::Bytes;
use curlewlift_core::code::Code;
use curlewlift_core::code::Outcome;
use curlewlift_core::code::Refusal;
use futures::stream;
use serde_json::json;

use super::request::ResponseMode;
use super::store::End;
use super::store::Head;
use super::store::Reader;

/// The header with the result code.
const CODE_HEADER: HeaderName = HeaderName::from_static("curlewlift-code");

/// The header with the outcome: run, not-run or unknown.
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("curlewlift-outcome");

/// The header with the request key.
const KEY_HEADER: HeaderName = HeaderName::from_static("curlewlift-key");

/// Seconds after which a refused caller may retry.
const RETRY_AFTER_S: u64 = 1;

/// The response that refuses a request which certainly did not run.
pub(super) fn refusal(refusal: &Refusal) -> Response<Body> {
    error_response(refusal, Outcome::NotRun)
}

fn error_response(refusal: &Refusal, outcome: Outcome) -> Response<Body> {
    let code = refusal.get_code();
    let mut response = Response::new(Body::from(error_json(refusal, outcome)));
    *response.status_mut() = status_code(code.status());
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if matches!(code.status(), 429 | 503) {
        headers.insert(header::RETRY_AFTER, RETRY_AFTER_S.into());
    }
    set_outcome(headers, code, outcome);
    response
}

/// The error body as JSON.
fn error_json(refusal: &Refusal, outcome: Outcome) -> String {
    let code = refusal.get_code();
    let kind = match code.status() {
        401 | 403 => "authentication_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    };
    let error = json!({
        "error": {
            "message": refusal.get_detail(),
            "type": kind,
            "code": code.name(),
            "param": null,
            "number": code.number(),
            "outcome": outcome.to_string(),
        }
    });
    error.to_string()
}

fn set_outcome(headers: &mut HeaderMap, code: Code, outcome: Outcome) {
    headers.insert(CODE_HEADER, code.number().into());
    if let Ok(value) = HeaderValue::from_str(&outcome.to_string()) {
        headers.insert(OUTCOME_HEADER, value);
    }
}

fn status_code(number: u16) -> StatusCode {
    StatusCode::from_u16(number).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// The response that `reader` reads, streamed or whole.
pub(super) async fn response(reader: Reader, mode: ResponseMode, key: &str) -> Response<Body> {
    let head = reader.get_response().wait_head().await;
    let mut response = match head {
        Ok(head) if mode == ResponseMode::Stream && head.status < 300 => {
            stream_response(reader, head)
        }
        Ok(head) => whole_response(reader, head).await,
        Err(end) => failed_response(&end),
    };
    if let Ok(key) = HeaderValue::from_str(key) {
        response.headers_mut().insert(KEY_HEADER, key);
    }
    response
}

fn failed_response(end: &End) -> Response<Body> {
    match &end.refusal {
        Some(refusal) => error_response(refusal, end.outcome),
        None => error_response(
            &Refusal::new(Code::Internal, "the response ended without a head"),
            end.outcome,
        ),
    }
}

/// The whole response, or why there is none.
pub(super) async fn whole_response(reader: Reader, head: Head) -> Response<Body> {
    let end = reader.get_response().wait_end().await;
    if end.refusal.is_some() {
        return failed_response(&end);
    }
    let mut response = Response::new(Body::from(reader.get_response().bytes()));
    set_head(&mut response, head);
    set_outcome(response.headers_mut(), Code::Done, end.outcome);
    response
}

fn set_head(response: &mut Response<Body>, head: Head) {
    *response.status_mut() = status_code(head.status);
    for (name, value) in head.headers {
        let name = HeaderName::try_from(name);
        let value = HeaderValue::try_from(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
}

/// The response as its chunks arrive. The last event carries the code and the outcome.
fn stream_response(reader: Reader, head: Head) -> Response<Body> {
    let chunks = stream::unfold((reader, Some(0)), |(reader, from)| async move {
        let from = from?;
        if let Some(bytes) = reader.get_response().wait_bytes(from).await {
            let next = from + bytes.len();
            return Some((
                Ok::<_, Infallible>(Bytes::from(bytes)),
                (reader, Some(next)),
            ));
        }
        let end_text = end_events(&reader.get_response().wait_end().await);
        Some((Ok(Bytes::from(end_text)), (reader, None)))
    });
    let mut response = Response::new(Body::from_stream(chunks));
    set_head(&mut response, head);
    response
}

/// The end of a stream: an error event if the response is incomplete, then the code and the outcome
/// in a comment line, which clients ignore.
fn end_events(end: &End) -> String {
    let mut text = String::new();
    let mut number = 0;
    if let Some(refusal) = &end.refusal {
        number = refusal.get_code().number();
        text = format!("\n\ndata: {}\n\n", error_json(refusal, end.outcome));
    }
    text + &format!(": curlewlift code={number} outcome={}\n\n", end.outcome)
}

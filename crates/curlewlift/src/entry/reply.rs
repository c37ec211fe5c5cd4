//! Writes answers to callers, and refusals in the interface's usual error body.

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

use super::kept::End;
use super::kept::Head;
use super::kept::Reader;
use super::request::Shape;

/// The header with the result code.
const CODE: HeaderName = HeaderName::from_static("curlewlift-code");

/// The header with one of run, not-run, unknown.
const OUTCOME: HeaderName = HeaderName::from_static("curlewlift-outcome");

/// The header with the request key.
const KEY: HeaderName = HeaderName::from_static("curlewlift-key");

/// Seconds after which a refused caller may come back.
const RETRY_AFTER: u64 = 1;

/// A refusal of a request that surely did not run.
pub(super) fn refusal(refusal: &Refusal) -> Response<Body> {
    error(refusal, Outcome::NotRun)
}

fn error(refusal: &Refusal, outcome: Outcome) -> Response<Body> {
    let code = refusal.get_code();
    let mut response = Response::new(Body::from(error_json(refusal, outcome)));
    *response.status_mut() = status(code.status());
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if matches!(code.status(), 429 | 503) {
        headers.insert(header::RETRY_AFTER, RETRY_AFTER.into());
    }
    fate(headers, code, outcome);
    response
}

/// The interface's usual error body.
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

fn fate(headers: &mut HeaderMap, code: Code, outcome: Outcome) {
    headers.insert(CODE, code.number().into());
    if let Ok(value) = HeaderValue::from_str(&outcome.to_string()) {
        headers.insert(OUTCOME, value);
    }
}

fn status(number: u16) -> StatusCode {
    StatusCode::from_u16(number).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// The answer that `reader` reads, as it comes or whole.
pub(super) async fn answer(reader: Reader, shape: Shape, key: &str) -> Response<Body> {
    let head = reader.get_kept().head().await;
    let mut response = match head {
        Ok(head) if shape == Shape::Stream && head.status < 300 => streamed(reader, head),
        Ok(head) => whole(reader, head).await,
        Err(end) => failed(&end),
    };
    if let Ok(key) = HeaderValue::from_str(key) {
        response.headers_mut().insert(KEY, key);
    }
    response
}

fn failed(end: &End) -> Response<Body> {
    match &end.refusal {
        Some(refusal) => error(refusal, end.outcome),
        None => error(
            &Refusal::new(Code::Internal, "an answer without a head"),
            end.outcome,
        ),
    }
}

/// The whole answer, or why there is none.
pub(super) async fn whole(reader: Reader, head: Head) -> Response<Body> {
    let end = reader.get_kept().ended().await;
    if end.refusal.is_some() {
        return failed(&end);
    }
    let mut response = Response::new(Body::from(reader.get_kept().bytes()));
    set_head(&mut response, head);
    fate(response.headers_mut(), Code::Done, end.outcome);
    response
}

fn set_head(response: &mut Response<Body>, head: Head) {
    *response.status_mut() = status(head.status);
    for (name, value) in head.headers {
        let name = HeaderName::try_from(name);
        let value = HeaderValue::try_from(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
}

/// The answer as it comes; its last event tells the code and the outcome.
fn streamed(reader: Reader, head: Head) -> Response<Body> {
    let parts = stream::unfold((reader, Some(0)), |(reader, from)| async move {
        let from = from?;
        if let Some(bytes) = reader.get_kept().next(from).await {
            let next = from + bytes.len();
            return Some((
                Ok::<_, Infallible>(Bytes::from(bytes)),
                (reader, Some(next)),
            ));
        }
        let last = last_event(&reader.get_kept().ended().await);
        Some((Ok(Bytes::from(last)), (reader, None)))
    });
    let mut response = Response::new(Body::from_stream(parts));
    set_head(&mut response, head);
    response
}

/// An error event where there is no whole answer; then, as a comment that clients pass over, the
/// code and the outcome.
fn last_event(end: &End) -> String {
    let mut text = String::new();
    let mut number = 0;
    if let Some(refusal) = &end.refusal {
        number = refusal.get_code().number();
        text = format!("\n\ndata: {}\n\n", error_json(refusal, end.outcome));
    }
    text + &format!(": curlewlift code={number} outcome={}\n\n", end.outcome)
}

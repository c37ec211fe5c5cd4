//! The heads of requests and answers.

use std::time::Duration;

use axum::http::HeaderMap;
use axum::http::HeaderName;
use axum::http::HeaderValue;
use axum::http::header;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::limit::Announcement;
use curlewlift_core::limit::InvalidRate;
use curlewlift_core::limit::Rate;
use curlewlift_core::pool::Notice;

use crate::gateway::BackendHead;
use crate::gateway::Dialect;
use crate::gateway::RequestHead;
use crate::gateway::ResponseHead;

use super::http;

#[cfg(test)]
mod tests;

/// The request's name; every try of a caller has its own.
const REQUEST: HeaderName = HeaderName::from_static("x-attempt-id");
/// How long the caller, and in turn the backend server, may take, in milliseconds.
const PATIENCE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Tokens of the prompt, and the most that are made, with a comma between.
const TOKENS: HeaderName = HeaderName::from_static("x-token-counts");
/// The customer's name, for the backend server.
const CUSTOMER: HeaderName = HeaderName::from_static("x-tenant");
/// The backend server that is meant, as it calls itself.
const MEANT: HeaderName = HeaderName::from_static("x-expect-instance");
/// The last event that is there already.
const AFTER: HeaderName = HeaderName::from_static("last-event-id");
/// By this the backend server vouches for its answer.
const SIGNATURE: HeaderName = HeaderName::from_static("x-response-signature");
/// The backend server did not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-executed");
/// Requests running, requests waiting, and slots.
const LOAD: HeaderName = HeaderName::from_static("x-server-load");

/// The backend server is to end.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// How many requests a second the backend server takes, from all hosts together.
const LIMIT: HeaderName = HeaderName::from_static("server-limit");

/// Another incarnation has the address.
const MISDIRECTED: u16 = 421;

/// With these a backend server turns a request away, and may say for how long it wants none.
const TURNED_AWAY: [u16; 2] = [429, 503];

/// What only this system may tell a backend server, whatever a caller sends.
const OURS: [HeaderName; 8] = [
    CUSTOMER,
    MEANT,
    HeaderName::from_static("x-expect-version"),
    HeaderName::from_static("x-hold"),
    HeaderName::from_static("x-pin-ms"),
    HeaderName::from_static("x-kv-backup"),
    HeaderName::from_static("kv-from"),
    HeaderName::from_static("kv-fetch"),
];

/// Parses and writes the header fields of the platform.
pub(super) const DIALECT: Dialect = Dialect {
    parse_request,
    prepare_request,
    parse_response,
};

fn parse_request(headers: &HeaderMap) -> Result<RequestHead, Refusal> {
    Ok(RequestHead {
        id: headers.get(REQUEST).cloned(),
        key: key(headers),
        timeout: number(headers, &PATIENCE)?.map(Duration::from_millis),
        tokens: tokens(headers)?,
    })
}

fn key(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.trim().split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| key.trim().to_owned())
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default().trim();
    let number: Result<f64, _> = text.parse();
    match number {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        Ok(number) if number >= 0.0 => Ok(Some(number as u64)),
        _ => Err(bad(name, text, "a number of milliseconds")),
    }
}

fn tokens(headers: &HeaderMap) -> Result<Option<(u64, u64)>, Refusal> {
    let Some(value) = headers.get(TOKENS) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let count = |text: &str| text.trim().parse::<u64>().ok();
    let both = text
        .split_once(',')
        .and_then(|(prompt, made)| Some((count(prompt)?, count(made)?)));
    both.map(Some)
        .ok_or_else(|| bad(&TOKENS, text, "two whole numbers with a comma between"))
}

fn bad(name: &HeaderName, text: &str, wanted: &str) -> Refusal {
    Refusal::new(
        Code::BadHeader,
        format!("{name}: `{text}` is not right; give {wanted}"),
    )
}

fn prepare_request(headers: &mut HeaderMap, hand: &BackendHead<'_>) {
    headers.remove(header::AUTHORIZATION);
    for name in OURS {
        headers.remove(name);
    }
    set(headers, PATIENCE, &hand.timeout.as_millis().to_string());
    set(headers, MEANT, hand.server);
    if let Some(customer) = hand.customer {
        set(headers, CUSTOMER, customer);
    }
    if let Some(after) = hand.last_event_id {
        set(headers, AFTER, after);
    }
}

fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(why) => log::error!("{name}: `{value}` cannot be sent: {why}"),
    }
}

fn parse_response(status: u16, headers: &HeaderMap) -> ResponseHead {
    ResponseHead {
        id: headers.get(REQUEST).cloned(),
        not_run: headers.contains_key(NOT_RUN),
        moved: status == MISDIRECTED,
        signed: headers.contains_key(SIGNATURE),
        in_flight: load(headers),
        notices: notices(status, headers),
        limit: limit(headers),
    }
}

/// What the server says of its limit: where it is given more than once, the least that can be read.
fn limit(headers: &HeaderMap) -> Announcement {
    let mut limit = Announcement::NoLimit;
    for value in headers.get_all(LIMIT) {
        let text = String::from_utf8_lossy(value.as_bytes());
        let rate: Result<Rate, _> = text.parse();
        limit = match (limit, rate) {
            (Announcement::Limited(former), Ok(rate)) if former <= rate => {
                Announcement::Limited(former)
            }
            (_, Ok(rate)) => Announcement::Limited(rate),
            (Announcement::NoLimit, Err(InvalidRate(odd))) => Announcement::Invalid(odd),
            (limit, Err(_)) => limit,
        };
    }
    limit
}

/// What the server says of itself.
fn notices(status: u16, headers: &HeaderMap) -> Vec<Notice> {
    let mut notices = Vec::new();
    if TURNED_AWAY.contains(&status) {
        let values = headers.get_all(header::RETRY_AFTER).iter();
        notices.extend(values.map(rest));
    }
    if headers.get(LEAVING).is_some_and(|value| value != "0") {
        notices.push(Notice::Draining);
    }
    notices
}

/// For how long a server that turned a request away wants none.
fn rest(value: &HeaderValue) -> Notice {
    let text = String::from_utf8_lossy(value.as_bytes());
    http::seconds(&text).map_or_else(|| Notice::Unreadable(text.into_owned()), Notice::Backoff)
}

fn load(headers: &HeaderMap) -> Option<u32> {
    let mut parts = headers.get(LOAD)?.to_str().ok()?.split(',');
    let running: u32 = parts.next()?.trim().parse().ok()?;
    let waiting: u32 = parts.next()?.trim().parse().ok()?;
    Some(running.saturating_add(waiting))
}

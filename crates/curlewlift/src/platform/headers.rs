//! Reads and writes the platform's headers of requests and responses.

use std::sync::Arc;
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
use curlewlift_core::pool::ReportedLoad;
use curlewlift_core::quarantine::Part;
use curlewlift_core::rejection;

use crate::gateway::BackendHead;
use crate::gateway::Dialect;
use crate::gateway::RequestHead;
use crate::gateway::ResponseHead;
use crate::gateway::Resumption;

use super::http;

#[cfg(test)]
mod tests;

/// The id of a request; each attempt of a caller has its own.
const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-attempt-id");
/// How long the caller waits for a response, and in turn how long the backend server may take, in milliseconds.
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The prompt's tokens and the maximum of generated tokens, separated by a comma.
const TOKEN_COUNTS: HeaderName = HeaderName::from_static("x-token-counts");
/// The caller's estimate of the number of tokens that will be generated.
const LENGTH_HINT: HeaderName = HeaderName::from_static("x-length-hint");
/// The parts of the prompt in order, each as its id and its number of tokens with a colon between, separated by commas.
const PROMPT_PARTS: HeaderName = HeaderName::from_static("x-prompt-prefix");
/// The customer's name, for the backend server.
const CUSTOMER: HeaderName = HeaderName::from_static("x-tenant");
/// The name of the backend server that the request is for; another one rejects the request.
const EXPECTED_SERVER: HeaderName = HeaderName::from_static("x-expect-instance");
/// The id of the last event that was received; a stream is resumed after it.
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// The id of the request that brought the first event of the stream that this request takes up.
const FIRST_REQUEST: HeaderName = HeaderName::from_static("resumes");
/// The backend server's signature of its response.
const SIGNATURE: HeaderName = HeaderName::from_static("x-response-signature");
/// Says that the backend server did not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-executed");
/// The number of running requests, of queued requests and of slots, and how long work takes at the moment in percent of
/// the usual time, separated by commas.
const LOAD: HeaderName = HeaderName::from_static("x-server-load");

/// Says that the backend server is draining.
const DRAINING: HeaderName = HeaderName::from_static("server-leaving");
/// How many requests a second the backend server accepts from all hosts together.
const RATE_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// How many requests a second the backend server may reject before it fails.
const REJECTION_LIMIT: HeaderName = HeaderName::from_static("server-brittle");

/// The status of a response from another server or incarnation, which now has the address.
const MISDIRECTED_STATUS: u16 = 421;

/// The statuses with which a backend server rejects a request and may ask for a backoff.
const REJECTED_STATUSES: [u16; 2] = [429, 503];

/// The headers that only this system may send to a backend server; a caller's are removed.
const RESERVED_HEADERS: [HeaderName; 8] = [
    CUSTOMER,
    EXPECTED_SERVER,
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
        id: headers.get(ATTEMPT_ID).cloned(),
        key: bearer_key(headers),
        timeout: millis(headers, &DEADLINE)?.map(Duration::from_millis),
        tokens: token_counts(headers)?,
        length_hint: length_hint(headers),
        parts: shared_parts(headers),
        resumption: resumption(headers),
    })
}

fn resumption(headers: &HeaderMap) -> Option<Resumption> {
    let last_event = headers.get(LAST_EVENT).cloned();
    let mut stated = headers.get_all(FIRST_REQUEST).iter();
    let first_request = stated.next();
    if first_request.is_none() && last_event.is_none() {
        return None;
    }
    let is_unique = stated.next().is_none();
    let first_request = first_request.filter(|id| is_unique && !id.is_empty());
    Some(Resumption {
        first_request: first_request.cloned(),
        last_event,
    })
}

fn bearer_key(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.trim().split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| key.trim().to_owned())
}

fn millis(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default().trim();
    let millis: Result<f64, _> = text.parse();
    match millis {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        Ok(millis) if millis >= 0.0 => Ok(Some(millis as u64)),
        _ => Err(bad_header(name, text, "a number of milliseconds")),
    }
}

fn token_counts(headers: &HeaderMap) -> Result<Option<(u64, u64)>, Refusal> {
    let Some(value) = headers.get(TOKEN_COUNTS) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let count = |text: &str| text.trim().parse::<u64>().ok();
    let counts = text
        .split_once(',')
        .and_then(|(prompt, generated)| Some((count(prompt)?, count(generated)?)));
    counts.map(Some).ok_or_else(|| {
        bad_header(
            &TOKEN_COUNTS,
            text,
            "two whole numbers, separated by a comma",
        )
    })
}

fn bad_header(name: &HeaderName, text: &str, expected: &str) -> Refusal {
    Refusal::new(
        Code::BadHeader,
        format!("{name}: `{text}` is invalid; give {expected}"),
    )
}

fn prepare_request(headers: &mut HeaderMap, hand: &BackendHead<'_>) {
    headers.remove(header::AUTHORIZATION);
    for name in RESERVED_HEADERS {
        headers.remove(name);
    }
    set(headers, DEADLINE, &hand.timeout.as_millis().to_string());
    set(headers, EXPECTED_SERVER, hand.server);
    if let Some(customer) = hand.customer {
        set(headers, CUSTOMER, customer);
    }
    if let Some(after) = hand.last_event_id {
        set(headers, LAST_EVENT, after);
    }
}

fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(why) => log::error!("the header {name} cannot be sent with the value `{value}`: {why}"),
    }
}

fn parse_response(status: u16, headers: &HeaderMap) -> ResponseHead {
    ResponseHead {
        id: headers.get(ATTEMPT_ID).cloned(),
        not_run: headers.contains_key(NOT_RUN),
        moved: status == MISDIRECTED_STATUS,
        signed: headers.contains_key(SIGNATURE),
        load: reported_load(headers),
        notices: notices(status, headers),
        limit: announced_limit(headers),
        rejection_limit: rejection_limit(headers),
    }
}

/// The limit that the server announces; if there are several, the lowest valid one.
fn announced_limit(headers: &HeaderMap) -> Announcement {
    let mut limit = Announcement::NoLimit;
    for value in headers.get_all(RATE_LIMIT) {
        let text = String::from_utf8_lossy(value.as_bytes());
        let rate: Result<Rate, _> = text.parse();
        limit = match (limit, rate) {
            (Announcement::Limited(lowest), Ok(rate)) if lowest <= rate => {
                Announcement::Limited(lowest)
            }
            (_, Ok(rate)) => Announcement::Limited(rate),
            (Announcement::NoLimit, Err(InvalidRate(text))) => Announcement::Invalid(text),
            (limit, Err(_)) => limit,
        };
    }
    limit
}

/// How many requests a second the server may reject before it fails; if it says so several times, the lowest number.
fn rejection_limit(headers: &HeaderMap) -> Option<rejection::Limit> {
    let values = headers.get_all(REJECTION_LIMIT).iter();
    let limits = values.filter_map(|value| {
        let text = String::from_utf8_lossy(value.as_bytes());
        let limit = text.parse();
        let limit = limit.inspect_err(|why| log::warn!("{REJECTION_LIMIT}: `{text}`: {why}"));
        limit.ok()
    });
    limits.min()
}

/// What the server announces about its own state.
fn notices(status: u16, headers: &HeaderMap) -> Vec<Notice> {
    let mut notices = Vec::new();
    if REJECTED_STATUSES.contains(&status) {
        let values = headers.get_all(header::RETRY_AFTER).iter();
        notices.extend(values.map(backoff));
    }
    if headers.get(DRAINING).is_some_and(|value| value != "0") {
        notices.push(Notice::Draining);
    }
    notices
}

/// The backoff that a server asks for as it rejects a request.
fn backoff(value: &HeaderValue) -> Notice {
    let text = String::from_utf8_lossy(value.as_bytes());
    http::parse_seconds(&text)
        .map_or_else(|| Notice::Unreadable(text.into_owned()), Notice::Backoff)
}

/// The caller's estimate of the generated tokens; an invalid one is ignored, as it decides nothing about the response.
fn length_hint(headers: &HeaderMap) -> Option<u64> {
    headers.get(LENGTH_HINT)?.to_str().ok()?.trim().parse().ok()
}

/// The parts of the prompt that other requests may have as well; none if they are not stated in a readable form.
fn shared_parts(headers: &HeaderMap) -> Arc<[Part]> {
    let mut values = headers.get_all(PROMPT_PARTS).iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return Arc::default();
    };
    let parse = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        let _: u64 = tokens.trim().parse().ok()?;
        let Ok(id) = id.trim().parse();
        Some(id)
    };
    let parts: Option<Vec<_>> = value
        .to_str()
        .ok()
        .and_then(|text| text.split(',').map(parse).collect());
    Part::shared(&parts.unwrap_or_default())
}

/// The load that the server states. Servers without a figure for their pace leave it out.
fn reported_load(headers: &HeaderMap) -> Option<ReportedLoad> {
    let mut figures = headers.get(LOAD)?.to_str().ok()?.split(',').map(str::trim);
    let running = figures.next()?.parse().ok()?;
    let waiting = figures.next()?.parse().ok()?;
    let slots = figures.next().and_then(|figure| figure.parse().ok());
    let percent: Option<f64> = figures.next().and_then(|figure| figure.parse().ok());
    let percent = percent.filter(|percent| percent.is_finite() && *percent > 0.0);
    Some(ReportedLoad {
        running,
        waiting,
        slots,
        relative_time: percent.map(|percent| percent / 100.0),
    })
}

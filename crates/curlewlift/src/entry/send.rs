//! Sends a request to its server, and receives the response.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::Request as HttpRequest;
use axum::http::StatusCode;
use axum::http::header;
use bytes::Bytes;
use curlewlift_core::code::Code;
use curlewlift_core::code::Outcome;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::queue::Report;
use curlewlift_core::response::FINAL_STATUSES;
use curlewlift_core::sse;
use curlewlift_core::unit::Tokens;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;

use super::node::Node;
use super::request::Request;
use super::request::ResponseMode;
use super::schedule::SlotGrant;
use super::store::End;
use super::store::Head;
use super::store::StoredResponse;

/// The header with which a server reports that it refused a request before running it.
const NOT_RUN_HEADER: &str = "x-not-run";

/// Maximum number of times that a broken stream is resumed.
const MAX_RESUMES: u32 = 3;

/// Delay before a broken stream is resumed for the first time. It doubles with each further time.
const FIRST_RESUME_DELAY: Duration = Duration::from_millis(50);

/// Interval between two reports of the tokens received so far.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// The data of the event that ends a stream.
const STREAM_END: &[u8] = b"[DONE]";

/// How many of the latest bytes of a response are kept, to read its usage.
const TAIL_BYTES: usize = 1_024;

/// How one attempt ended.
pub(super) enum AttemptOutcome {
    /// The request certainly did not run, and may be attempted at another server.
    NotRun(Refusal),
    /// The request ended, with a complete response or without.
    Ended(End),
}

/// What was received of a response so far.
#[derive(Default)]
struct Progress {
    decoder: sse::Decoder,
    /// Number of server-sent events with data.
    events: u64,
    /// The latest bytes.
    tail: Vec<u8>,
    ended: bool,
    last_report: Option<tokio::time::Instant>,
}

/// Sends the request to the server that granted the slot.
pub(super) async fn send(
    node: &Arc<Node>,
    request: &Request,
    stored: &StoredResponse,
    grant: SlotGrant,
) -> AttemptOutcome {
    // Without a lease another entry may own the service by now, and then this grant is void.
    if let Err(refusal) = node.usable_roster() {
        return AttemptOutcome::NotRun(refusal);
    }
    let snapshot = node.snapshot();
    let Some(server) = snapshot.servers.get(&grant.server) else {
        return AttemptOutcome::NotRun(Refusal::new(Code::Refused, "the server was removed"));
    };
    let uri = format!("http://{}{}", server.address, request.call.path);
    let mut http = HttpRequest::new(Body::from(request.call.body.clone()));
    *http.method_mut() = request.call.method.clone();
    *http.headers_mut() = server_headers(request, snapshot.rank(&request.rights));
    match uri.parse() {
        Ok(uri) => *http.uri_mut() = uri,
        Err(_) => {
            return AttemptOutcome::NotRun(Refusal::new(
                Code::UnknownPath,
                "the path is not a valid URI",
            ));
        }
    }
    let line = Line::new(Kind::Sent).key(request.key).server(&grant.server);
    node.timeline.note(line.customer(&request.customer));
    // A request that may run only once gets a new connection: the server may close a reused one
    // while the request is sent, and then it is unknown whether the request ran.
    let client = if request.sole {
        &node.unpooled_client
    } else {
        &node.pooled_client
    };
    let response = match client.request(http).await {
        Ok(response) => response,
        Err(error) if error.is_connect() => {
            return AttemptOutcome::NotRun(Refusal::new(
                Code::Refused,
                "connecting to the server failed",
            ));
        }
        Err(error) => return broken_response(format!("the server sent no response: {error}")),
    };
    if response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(NOT_RUN_HEADER)
    {
        return AttemptOutcome::NotRun(Refusal::new(
            Code::Refused,
            "the server refused before running",
        ));
    }
    if !FINAL_STATUSES.contains(&response.status().as_u16()) {
        return broken_response("the response has no final status".to_owned());
    }
    let head = response_head(response.status(), response.headers());
    let streamed = request.mode == ResponseMode::Stream && response.status().is_success();
    stored.set_head(head);
    if streamed {
        receive_stream(node, request, stored, grant, response.into_body()).await
    } else {
        receive_whole(node, request, stored, grant, response.into_body()).await
    }
}

/// The request headers for the server.
fn server_headers(request: &Request, rank: u8) -> HeaderMap {
    let mut headers = request.call.headers.clone();
    if let Ok(key) = request.key.to_string().parse() {
        headers.insert("x-request-id", key);
    }
    headers.insert("x-priority", u16::from(rank).into());
    headers
}

fn response_head(status: StatusCode, headers: &HeaderMap) -> Head {
    let hop_by_hop = [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::CONTENT_LENGTH,
    ];
    let forwarded = headers.iter().filter(|pair| !hop_by_hop.contains(pair.0));
    let text = |value: &axum::http::HeaderValue| value.to_str().unwrap_or_default().to_owned();
    Head {
        status: status.as_u16(),
        headers: forwarded
            .map(|(name, value)| (name.to_string(), text(value)))
            .collect(),
    }
}

/// The outcome where the response broke off: the request may have run.
fn broken_response(reason: String) -> AttemptOutcome {
    AttemptOutcome::Ended(End {
        outcome: Outcome::Unknown,
        refusal: Some(Refusal::new(Code::Broken, reason)),
    })
}

fn complete_response() -> AttemptOutcome {
    AttemptOutcome::Ended(End {
        outcome: Outcome::Run,
        refusal: None,
    })
}

/// Receives a response that callers get whole.
async fn receive_whole(
    node: &Arc<Node>,
    request: &Request,
    stored: &StoredResponse,
    grant: SlotGrant,
    mut body: Incoming,
) -> AttemptOutcome {
    let mut progress = Progress::default();
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                let Ok(bytes) = frame.into_data() else {
                    continue;
                };
                report_chunk(node, request, &grant, &mut progress);
                if !stored.append(&bytes) {
                    return broken_response("the response is too large".to_owned());
                }
            }
            Some(Err(error)) => return broken_response(format!("the response broke off: {error}")),
            None => break,
        }
    }
    if request.prefixes.is_empty() {
        grant.end(Tokens(1), None);
        return complete_response();
    }
    let json: Value = serde_json::from_slice(&stored.bytes()).unwrap_or_default();
    let usage = &json["usage"];
    let output = usage["completion_tokens"].as_u64().unwrap_or(1);
    grant.end(Tokens(output), cached_tokens(usage));
    complete_response()
}

fn cached_tokens(usage: &Value) -> Option<Tokens> {
    usage["prompt_tokens_details"]["cached_tokens"]
        .as_u64()
        .map(Tokens)
}

/// Receives a response that callers get as a stream. A broken stream is resumed.
async fn receive_stream(
    node: &Arc<Node>,
    request: &Request,
    stored: &StoredResponse,
    grant: SlotGrant,
    mut body: Incoming,
) -> AttemptOutcome {
    let mut progress = Progress::default();
    let mut resumes = 0;
    loop {
        let break_reason =
            receive_chunks(node, request, stored, &grant, &mut body, &mut progress).await;
        if progress.ended {
            let usage = last_usage(&progress.tail);
            grant.end(Tokens(progress.events), cached_tokens(&usage));
            return complete_response();
        }
        if resumes == MAX_RESUMES {
            return broken_response(break_reason);
        }
        tokio::time::sleep(FIRST_RESUME_DELAY * 2_u32.pow(resumes)).await;
        resumes += 1;
        // The incomplete event arrives again.
        progress.decoder = sse::Decoder::default();
        match resume(node, request, stored, &grant).await {
            Some(remaining) => body = remaining,
            None => return broken_response(break_reason),
        }
    }
}

/// Stores the events that arrive until the connection ends or fails. Returns the error for a stream
/// that ended without its last event.
async fn receive_chunks(
    node: &Arc<Node>,
    request: &Request,
    stored: &StoredResponse,
    grant: &SlotGrant,
    body: &mut Incoming,
    progress: &mut Progress,
) -> String {
    loop {
        stored.wait_for_room().await;
        match body.frame().await {
            Some(Ok(frame)) => {
                let Ok(bytes) = frame.into_data() else {
                    continue;
                };
                report_chunk(node, request, grant, progress);
                let complete = complete_events(progress, &bytes);
                let is_event_too_long = progress.decoder.incomplete_bytes() > sse::MAX_EVENT_BYTES;
                if is_event_too_long || !stored.append(&complete) {
                    return "the response is too large".to_owned();
                }
            }
            Some(Err(error)) => return format!("the stream broke off: {error}"),
            None => return "the stream ended without its last event".to_owned(),
        }
    }
}

/// Asks the server to continue the stream at the offset where it broke.
async fn resume(
    node: &Arc<Node>,
    request: &Request,
    stored: &StoredResponse,
    grant: &SlotGrant,
) -> Option<Incoming> {
    let snapshot = node.snapshot();
    let server = snapshot.servers.get(&grant.server)?;
    let from = stored.length();
    let uri = format!(
        "http://{}/v1/streams/{}?from={from}",
        server.address, request.key
    );
    let http = HttpRequest::get(uri).body(Body::empty()).ok()?;
    let response = node.unpooled_client.request(http).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let line = Line::new(Kind::Resumed)
        .key(request.key)
        .server(&grant.server);
    node.timeline.note(line.detail(format_args!("from={from}")));
    Some(response.into_body())
}

/// Reports the first chunk to the owner, and then the number of tokens at intervals.
fn report_chunk(node: &Arc<Node>, request: &Request, grant: &SlotGrant, progress: &mut Progress) {
    if progress.last_report.is_none() {
        progress.last_report = Some(tokio::time::Instant::now());
        grant.report(Report::FirstToken);
        let line = Line::new(Kind::FirstToken)
            .key(request.key)
            .server(&grant.server);
        node.timeline.note(line.customer(&request.customer));
    }
    let now = tokio::time::Instant::now();
    if progress
        .last_report
        .is_some_and(|last| now - last >= REPORT_INTERVAL)
    {
        progress.last_report = Some(now);
        grant.report(Report::Tokens(Tokens(progress.events)));
    }
}

/// The events that `bytes` complete. Counts them, and notes the one that ends the stream.
fn complete_events(progress: &mut Progress, bytes: &Bytes) -> Vec<u8> {
    let mut complete = Vec::new();
    progress.decoder.push(bytes);
    while let Some(event) = progress.decoder.next_event() {
        if let Some(data) = sse::data(&event) {
            progress.events += 1;
            progress.ended |= data == STREAM_END;
        }
        complete.extend_from_slice(&event);
    }
    progress.tail.extend_from_slice(&complete);
    if progress.tail.len() > 2 * TAIL_BYTES {
        progress.tail.drain(..progress.tail.len() - TAIL_BYTES);
    }
    complete
}

/// The `usage` of the last event in `tail` that has one.
fn last_usage(tail: &[u8]) -> Value {
    let text = String::from_utf8_lossy(tail);
    let events = text.rsplit("data: ");
    let json = events.filter_map(|event| serde_json::from_str::<Value>(event.trim()).ok());
    let mut usage = json
        .map(|event| event["usage"].clone())
        .filter(Value::is_object);
    usage.next().unwrap_or_default()
}

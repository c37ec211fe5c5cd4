//! Sends a request to its server, and takes the answer.

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
use curlewlift_core::unit::Tokens;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;

use super::kept::End;
use super::kept::Head;
use super::kept::Kept;
use super::node::Node;
use super::request::Request;
use super::request::Shape;
use super::schedule::SlotGrant;

/// The header by which a server says that it refused before running.
const NOT_RUN: &str = "x-not-run";

/// How often a broken stream is resumed.
const RESUMES: u32 = 3;

/// Before a broken stream is resumed, the first time.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// Between two reports of the tokens that have come.
const REPORT: Duration = Duration::from_millis(250);

/// The end of a stream.
const DONE: &[u8] = b"data: [DONE]";

/// What became of one sending.
pub(super) enum Sent {
    /// Surely no byte of it was run; it may be tried elsewhere.
    NotRun(Refusal),
    /// It has ended, whole or not.
    Ended(End),
}

/// What was seen of an answer so far.
#[derive(Default)]
struct Seen {
    chunks: u64,
    /// The newest bytes, for what is cut between two chunks.
    tail: Vec<u8>,
    done: bool,
    last_report: Option<tokio::time::Instant>,
}

/// Sends the request to the server whose grant it has.
pub(super) async fn send(
    node: &Arc<Node>,
    request: &Request,
    kept: &Kept,
    grant: SlotGrant,
) -> Sent {
    // Without a lease another entry may own the service, and this grant may be worth nothing.
    if let Err(refusal) = node.usable_roster() {
        return Sent::NotRun(refusal);
    }
    let snapshot = node.snapshot();
    let Some(server) = snapshot.servers.get(&grant.server) else {
        return Sent::NotRun(Refusal::new(Code::Refused, "the server was removed"));
    };
    let uri = format!("http://{}{}", server.address, request.call.path);
    let mut http = HttpRequest::new(Body::from(request.call.body.clone()));
    *http.method_mut() = request.call.method.clone();
    *http.headers_mut() = headers(request, snapshot.rank(&request.rights));
    match uri.parse() {
        Ok(uri) => *http.uri_mut() = uri,
        Err(_) => return Sent::NotRun(Refusal::new(Code::UnknownPath, "the path cannot be read")),
    }
    let line = Line::new(Kind::Sent).key(request.key).server(&grant.server);
    node.timeline.note(line.customer(&request.customer));
    // A connection that is used again may close just now, and then it is not known what ran.
    let client = if request.sole {
        &node.unpooled_client
    } else {
        &node.pooled_client
    };
    let response = match client.request(http).await {
        Ok(response) => response,
        Err(why) if why.is_connect() => {
            return Sent::NotRun(Refusal::new(Code::Refused, "the server took no connection"));
        }
        Err(why) => return broken(format!("the server gave no answer: {why}")),
    };
    if response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(NOT_RUN)
    {
        return Sent::NotRun(Refusal::new(
            Code::Refused,
            "the server refused before running",
        ));
    }
    let head = head_of(response.status(), response.headers());
    let streamed = request.shape == Shape::Stream && response.status().is_success();
    kept.begin(head);
    if streamed {
        stream(node, request, kept, grant, response.into_body()).await
    } else {
        whole(node, request, kept, grant, response.into_body()).await
    }
}

fn headers(request: &Request, rank: u8) -> HeaderMap {
    let mut headers = request.call.headers.clone();
    if let Ok(key) = request.key.to_string().parse() {
        headers.insert("x-request-id", key);
    }
    headers.insert("x-priority", u16::from(rank).into());
    headers
}

fn head_of(status: StatusCode, headers: &HeaderMap) -> Head {
    let hop = [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::CONTENT_LENGTH,
    ];
    let passed = headers.iter().filter(|pair| !hop.contains(pair.0));
    let text = |value: &axum::http::HeaderValue| value.to_str().unwrap_or_default().to_owned();
    Head {
        status: status.as_u16(),
        headers: passed
            .map(|(name, value)| (name.to_string(), text(value)))
            .collect(),
    }
}

fn broken(why: String) -> Sent {
    Sent::Ended(End {
        outcome: Outcome::Unknown,
        refusal: Some(Refusal::new(Code::Broken, why)),
    })
}

fn ran() -> Sent {
    Sent::Ended(End {
        outcome: Outcome::Run,
        refusal: None,
    })
}

/// Takes an answer that is passed on whole.
async fn whole(
    node: &Arc<Node>,
    request: &Request,
    kept: &Kept,
    grant: SlotGrant,
    mut body: Incoming,
) -> Sent {
    let mut seen = Seen::default();
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                let Ok(bytes) = frame.into_data() else {
                    continue;
                };
                note_chunk(node, request, &grant, &mut seen);
                if !kept.add(&bytes) {
                    return broken("the answer is too large".to_owned());
                }
            }
            Some(Err(why)) => return broken(format!("the answer broke off: {why}")),
            None => break,
        }
    }
    if request.prefixes.is_empty() {
        grant.end(Tokens(1), None);
        return ran();
    }
    let json: Value = serde_json::from_slice(&kept.bytes()).unwrap_or_default();
    let usage = &json["usage"];
    let output = usage["completion_tokens"].as_u64().unwrap_or(1);
    grant.end(Tokens(output), cached(usage));
    ran()
}

fn cached(usage: &Value) -> Option<Tokens> {
    usage["prompt_tokens_details"]["cached_tokens"]
        .as_u64()
        .map(Tokens)
}

/// Takes an answer that is passed on as it comes; where it breaks it is resumed.
async fn stream(
    node: &Arc<Node>,
    request: &Request,
    kept: &Kept,
    grant: SlotGrant,
    mut body: Incoming,
) -> Sent {
    let mut seen = Seen::default();
    let mut resumes = 0;
    loop {
        let why = pass(node, request, kept, &grant, &mut body, &mut seen).await;
        if seen.done {
            let usage = last_usage(&seen.tail);
            grant.end(Tokens(seen.chunks), cached(&usage));
            return ran();
        }
        if resumes == RESUMES {
            return broken(why);
        }
        tokio::time::sleep(RESUME_PAUSE * 2_u32.pow(resumes)).await;
        resumes += 1;
        match resume(node, request, kept, &grant).await {
            Some(rest) => body = rest,
            None => return broken(why),
        }
    }
}

/// Passes on what comes until the end or a break; says why it broke.
async fn pass(
    node: &Arc<Node>,
    request: &Request,
    kept: &Kept,
    grant: &SlotGrant,
    body: &mut Incoming,
    seen: &mut Seen,
) -> String {
    loop {
        kept.room().await;
        match body.frame().await {
            Some(Ok(frame)) => {
                let Ok(bytes) = frame.into_data() else {
                    continue;
                };
                note_chunk(node, request, grant, seen);
                note_text(seen, &bytes);
                if !kept.add(&bytes) {
                    return "the answer is too large".to_owned();
                }
            }
            Some(Err(why)) => return format!("the stream broke off: {why}"),
            None => return "the stream ended without its end".to_owned(),
        }
    }
}

/// Asks the server to go on where the stream broke.
async fn resume(
    node: &Arc<Node>,
    request: &Request,
    kept: &Kept,
    grant: &SlotGrant,
) -> Option<Incoming> {
    let snapshot = node.snapshot();
    let server = snapshot.servers.get(&grant.server)?;
    let from = kept.length();
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

/// Tells the owner of the first chunk, and from time to time how many there are.
fn note_chunk(node: &Arc<Node>, request: &Request, grant: &SlotGrant, seen: &mut Seen) {
    if seen.last_report.is_none() {
        seen.last_report = Some(tokio::time::Instant::now());
        grant.report(Report::FirstToken);
        let line = Line::new(Kind::FirstToken)
            .key(request.key)
            .server(&grant.server);
        node.timeline.note(line.customer(&request.customer));
    }
    let now = tokio::time::Instant::now();
    if seen.last_report.is_some_and(|last| now - last >= REPORT) {
        seen.last_report = Some(now);
        grant.report(Report::Tokens(Tokens(seen.chunks)));
    }
}

/// Counts the events in `bytes`, and looks for the end.
fn note_text(seen: &mut Seen, bytes: &Bytes) {
    const KEEP: usize = 1_024;
    let events = bytes.windows(6).filter(|six| *six == b"data: ").count();
    seen.chunks += events as u64;
    seen.tail.extend_from_slice(bytes);
    let searched = seen.tail.len().saturating_sub(bytes.len() + DONE.len());
    seen.done |= seen.tail[searched..]
        .windows(DONE.len())
        .any(|part| part == DONE);
    if seen.tail.len() > 2 * KEEP {
        seen.tail.drain(..seen.tail.len() - KEEP);
    }
}

/// The `usage` of the last event that has one.
fn last_usage(tail: &[u8]) -> Value {
    let text = String::from_utf8_lossy(tail);
    let events = text.rsplit("data: ");
    let json = events.filter_map(|event| serde_json::from_str::<Value>(event.trim()).ok());
    let mut usage = json
        .map(|event| event["usage"].clone())
        .filter(Value::is_object);
    usage.next().unwrap_or_default()
}

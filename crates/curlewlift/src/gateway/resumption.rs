//! Finds where a stream began that a caller takes up.

use std::rc::Rc;
use std::time::Duration;

use axum::http::HeaderValue;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::gateway::StreamAnswer;
use curlewlift_core::gateway::StreamQuery;
use curlewlift_core::id;
use curlewlift_core::route;
use curlewlift_core::route::Rule;
use curlewlift_core::stream::Found;
use curlewlift_core::stream::Key;
use curlewlift_core::stream::Origin;
use tokio::time::Instant;

use crate::rpc::HubCall;
use crate::rpc::HubReply;
use crate::rpc::Method;
use crate::rpc::RenewCall;

use super::admit::Admitted;
use super::dialect::Resumption;
use super::log::Line;
use super::node::Node;
use super::refuse::Refused;
use super::stream::Stream;

/// Timeout of a question to the hub.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause before the hub is asked again.
const QUERY_INTERVAL: Duration = Duration::from_millis(40);

/// The longest time for which the hub is asked. The caller then has time left to try another host.
const MAX_QUERY_TIME: Duration = Duration::from_secs(1);

/// The same as a part of the time that the caller has left.
const QUERY_TIME_DIVISOR: u32 = 4;

/// Finds where the stream began that a request takes up.
///
/// # Errors
///
/// If that is not known. The request must not be sent to any server then.
pub(super) async fn find(node: &Rc<Node>, admitted: &Admitted) -> Result<Stream, Refused> {
    if !admitted.rule.kind.is_stream() {
        return Ok(Stream::default());
    }
    let Some(resumption) = &admitted.head_fields.resumption else {
        let id = admitted.head_fields.id.as_ref();
        let id = id.filter(|_| admitted.rule.kind == route::Kind::Resumable);
        return Ok(Stream::new(id.map(|id| key(admitted, id))));
    };
    let id = resumption.first_request.as_ref();
    let query = StreamQuery {
        key: id.map(|id| key(admitted, id)),
        services: services(&admitted.rule),
    };
    let found = find_origin(node, admitted, &query).await;
    let (origin, known_by) =
        found.map_err(|why| unknown(why).with_retry_after(admitted.retry_after(node)))?;
    log_taken(admitted, resumption, &origin, known_by);
    metrics::counter!("curlewlift_streams_taken", "known_by" => known_by).increment(1);
    Ok(Stream::begun(query.key, origin))
}

/// The key of a stream whose first event was brought by the caller's request `id`.
fn key(admitted: &Admitted, id: &HeaderValue) -> Key {
    Key::new(&admitted.features.identity, id.as_bytes())
}

/// The services that a rule sends requests to.
fn services(rule: &Rule) -> Vec<id::Service> {
    let targets = rule.targets.iter().filter(|target| target.weight > 0.0);
    targets.map(|target| target.service.clone()).collect()
}

/// Where a stream began, and who knew it; the error says why it is not known.
async fn find_origin(
    node: &Rc<Node>,
    admitted: &Admitted,
    query: &StreamQuery,
) -> Result<(Origin, &'static str), &'static str> {
    let found = query
        .key
        .and_then(|key| node.streams.borrow().find(key, node.now()));
    match found {
        Some(Found::Begun(origin)) if query.services.contains(&origin.service) => {
            return Ok((Origin::clone(&origin), "gateway"));
        }
        Some(Found::Begun(_)) => {
            return Err("the stream began at a service that its rule no longer names");
        }
        Some(Found::Conflicting) => {
            return Err("two requests with the same id began at different versions");
        }
        None => {}
    }
    if let Some(origin) = node.sole_origin(&query.services) {
        return Ok((origin, "list"));
    }
    let begun = Instant::now();
    let time = (admitted.deadline.remaining() / QUERY_TIME_DIVISOR).min(MAX_QUERY_TIME);
    let mut arrives_within = Duration::ZERO;
    let mut why = "the hub is not reachable";
    loop {
        match ask_hub(node, query).await {
            Some(StreamAnswer::Begun(origin)) => return Ok((origin, "hub")),
            Some(StreamAnswer::SoleVersion(origin)) => return Ok((origin, "list")),
            Some(StreamAnswer::Unknown {
                arrives_within: more,
            }) => {
                arrives_within = arrives_within.max(more);
                if begun.elapsed() >= arrives_within {
                    return Err("no host has a record of the stream");
                }
                why = "the hub has no record of the stream yet";
            }
            None => {}
        }
        if begun.elapsed() + QUERY_INTERVAL > time {
            return Err(why);
        }
        tokio::time::sleep(QUERY_INTERVAL).await;
    }
}

/// The hub's answer; none if it gives none.
async fn ask_hub(node: &Node, query: &StreamQuery) -> Option<StreamAnswer> {
    let address = node.hub_address()?;
    let call = RenewCall::Hub(HubCall::FindStream(query.clone()));
    let reply: Result<HubReply, Refusal> = node
        .rpc
        .call(address, Method::Renew, &call, QUERY_TIMEOUT)
        .await;
    match reply {
        Ok(HubReply::Stream(answer)) => Some(answer),
        Ok(_) => None,
        Err(why) => {
            log::debug!("the hub at {address} did not say where a stream began: {why}");
            None
        }
    }
}

fn unknown(why: &str) -> Refused {
    let reason = format!("the version that began the stream is not known: {why}");
    Refused::new(Code::UnknownStream, reason)
}

fn log_taken(admitted: &Admitted, resumption: &Resumption, origin: &Origin, known_by: &str) {
    let line = Line::new(Kind::StreamTaken)
        .request(admitted.head_fields.id.as_ref())
        .with("identity", admitted.features.identity.to_string())
        .with("service", origin.service.to_string())
        .with("version", origin.version.to_string())
        .with("known_by", known_by);
    resumption.log(line).write();
}

impl Node {
    /// Where a stream of one of `services` must have begun, if the hub has confirmed lately that only one version serves.
    fn sole_origin(&self, services: &[id::Service]) -> Option<Origin> {
        let now = self.now();
        self.stream_versions.borrow().sole_origin(services, now)
    }
}

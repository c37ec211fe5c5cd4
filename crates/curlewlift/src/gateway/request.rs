//! Handles a request on arrival: admits and forwards it, or refuses it.

use std::rc::Rc;

use axum::http::Request;
use curlewlift_core::code::Code;
use curlewlift_core::event::Kind;
use hyper::body::Incoming;
use rand::RngExt;

use super::admit;
use super::body::Answer;
use super::forward::ForwardedRequest;
use super::log::Line;
use super::log::millis;
use super::node::Node;
use super::refuse;
use super::refuse::Refused;
use super::resumption;

/// Serves one request.
pub(super) async fn handle(node: Rc<Node>, request: Request<Incoming>) -> Answer {
    let arrived = node.arrival();
    metrics::counter!("curlewlift_requests").increment(1);
    let head_fields = match (node.dialect.parse_request)(request.headers()) {
        Ok(head_fields) => head_fields,
        Err(refusal) => return refused(Line::new(Kind::Refused), &refusal.into()),
    };
    let line = Line::new(Kind::Refused).request(head_fields.id.as_ref());
    let admitted = match admit::admit(&node, request, arrived, head_fields).await {
        Ok(admitted) => admitted,
        Err(refusal) => return refused(with_table_age(line, &node), &refusal),
    };
    let stream = match resumption::find(&node, &admitted).await {
        Ok(stream) => stream,
        Err(refusal) => return refused(admitted.log_line(Kind::Refused), &refusal),
    };
    let random = rand::rng().random();
    let service = stream.service();
    let service = service.or_else(|| admitted.rule.pick_target(random));
    let Some(service) = service.cloned() else {
        return refused(
            line,
            &Refused::new(Code::NoServer, "the rule names no service"),
        );
    };
    ForwardedRequest::new(node, admitted, service, stream)
        .run()
        .await
}

/// Adds to a log line which table is in effect, which one is the newest that this gateway has heard of, and how long ago it
/// last heard from the hub.
fn with_table_age(line: Line, node: &Node) -> Line {
    line.with("table", node.table_version())
        .with("newest", node.newest_table())
        .with("hub_heard_ms", node.since_hub_reply().map(millis))
}

/// Logs a refusal with `line`, counts it, and returns the response for it.
pub(super) fn refused(line: Line, refused: &Refused) -> Answer {
    let code = refused.refusal.get_code();
    line.with("code", code.number())
        .with("why", refused.refusal.get_detail())
        .with("again_ms", refused.retry_after.map(millis))
        .write();
    metrics::counter!("curlewlift_refused", "code" => code.name()).increment(1);
    refuse::refusal_response(&refused.refusal, refused.retry_after)
}

//! One request at its arrival: taken and sent on its way, or refused.

use std::rc::Rc;

use axum::http::Request;
use curlewlift_core::code::Code;
use curlewlift_core::event::Kind;
use hyper::body::Incoming;
use rand::RngExt;

use super::admit;
use super::body::Answer;
use super::log::Line;
use super::log::millis;
use super::node::Node;
use super::refuse;
use super::refuse::Refused;
use super::run::Run;
use super::stop;

/// Answers one request.
pub(super) async fn answer(node: Rc<Node>, request: Request<Incoming>) -> Answer {
    let arrived = node.now();
    metrics::counter!("curlewlift_requests").increment(1);
    let call = match (node.dialect.read)(request.headers()) {
        Ok(call) => call,
        Err(why) => return refused(Line::new(Kind::Refused), &why.into()),
    };
    let line = Line::new(Kind::Refused).request(call.id.as_ref());
    if let Some(again) = stop::refusal_delay(&node) {
        let refusal = Refused::new(Code::Leaving, "this gateway is stopping").again(again);
        return refused(line, &refusal);
    }
    let admitted = match admit::admit(&node, request, arrived, call).await {
        Ok(admitted) => admitted,
        Err(refusal) => return refused(line, &refusal),
    };
    let lot = rand::rng().random();
    let Some(service) = admitted.rule.pick_target(lot).cloned() else {
        return refused(
            line,
            &Refused::new(Code::NoServer, "the rule has no service"),
        );
    };
    Run::new(node, admitted, service).drive().await
}

/// Answers that a request is refused, and says so in the log with the `line` about it.
pub(super) fn refused(line: Line, refused: &Refused) -> Answer {
    let code = refused.refusal.get_code();
    line.with("code", code.number())
        .with("why", refused.refusal.get_detail())
        .with("again_ms", refused.again.map(millis))
        .write();
    metrics::counter!("curlewlift_refused", "code" => code.name()).increment(1);
    refuse::refuse(&refused.refusal, refused.again)
}

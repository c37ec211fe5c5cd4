//! The operators' calls about roll-outs: start one, ask how far it has come.

use std::time::Duration;

use axum::http::Request;
use axum::http::StatusCode;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::id;
use curlewlift_core::rollout::Order;
use curlewlift_core::rollout::Phase;
use curlewlift_core::rollout::Version;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;

use crate::gateway;
use crate::gateway::Answer;
use crate::gateway::Environment;
use crate::gateway::Node;
use crate::gateway::note;

use super::http;
use super::operator;

/// The longest time that a roll-out may take, in seconds: a day.
const LONGEST: f64 = 86_400.0;

/// An order as operators send it.
#[derive(Deserialize)]
struct Body {
    service: String,
    target_version: String,
    /// Within what time it is to come to its end, in seconds.
    duration_s: f64,
}

/// Takes an order.
pub(super) async fn start(
    node: &Node,
    environment: &Environment,
    request: Request<Incoming>,
) -> Answer {
    let text = operator::text(request).await;
    let order = match text.and_then(|text| order(&text)) {
        Ok(order) => order,
        Err(refusal) => {
            log(None, Some(&refusal));
            return http::refused(&refusal);
        }
    };
    let taken = gateway::roll_out(node, environment, order.clone()).await;
    log(Some(&order), taken.as_ref().err());
    match taken {
        Ok(()) => http::empty(StatusCode::OK),
        Err(refusal) => http::refused(&surely(refusal)),
    }
}

/// The service whose roll-out `path` asks for.
pub(super) fn asked(path: &str) -> Option<String> {
    let service = path.strip_prefix("/api/rollouts/")?.strip_suffix("/get")?;
    (!service.contains('/')).then(|| service.to_owned())
}

/// Tells how far the last roll-out of a service has come.
pub(super) async fn get(node: &Node, environment: &Environment, service: &str) -> Answer {
    let service: id::Service = match service.parse() {
        Ok(service) => service,
        Err(why) => {
            let refusal = Refusal::new(Code::UnknownService, format!("{why}"));
            return http::refused(&refusal);
        }
    };
    match gateway::rollout_of(node, environment, service.clone()).await {
        Ok(Some((target, phase))) => gateway::json(told(&target, phase)),
        Ok(None) => {
            let why = format!("no roll-out of `{service}` was ordered");
            http::refused(&Refusal::new(Code::Unknown, why))
        }
        Err(refusal) => http::refused(&operator::unclear(refusal)),
    }
}

fn told(target: &Version, phase: Phase) -> String {
    let state = match phase {
        Phase::Trial | Phase::Moving => "serving",
        Phase::Completed => "completed",
        Phase::RolledBack => "rolled_back",
    };
    json!({ "state": state, "target_version": target.to_string() }).to_string()
}

/// Reads an order.
fn order(text: &str) -> Result<Order, Refusal> {
    let body: Body = serde_json::from_str(text)
        .map_err(|why| Refusal::new(Code::BadJson, format!("the order: {why}")))?;
    let bad = |why: String| Refusal::new(Code::BadValue, format!("the order: {why}"));
    let seconds = body.duration_s;
    if !(seconds > 0.0 && seconds <= LONGEST) {
        return Err(bad(format!(
            "{seconds} s is no time; give over 0 and up to {LONGEST}"
        )));
    }
    Ok(Order {
        service: body.service.parse().map_err(|why| bad(format!("{why}")))?,
        target: body
            .target_version
            .parse()
            .map_err(|why| bad(format!("{why}")))?,
        duration: Duration::from_secs_f64(seconds),
        given_ms: 0,
    })
}

/// A refusal that is the leader's own word, or one that says that what became of the order is not known.
fn surely(refusal: Refusal) -> Refusal {
    match refusal.get_code() {
        Code::Conflict | Code::UnknownService | Code::Unknown => refusal,
        _ => operator::unclear(refusal),
    }
}

fn log(order: Option<&Order>, refusal: Option<&Refusal>) {
    note(Kind::RolloutOrdered)
        .with("service", order.map(|order| order.service.as_str()))
        .with("target", order.map(|order| order.target.to_string()))
        .with(
            "answer",
            if refusal.is_none() {
                "taken"
            } else {
                "refused"
            },
        )
        .with("why", refusal.map(ToString::to_string))
        .write();
}

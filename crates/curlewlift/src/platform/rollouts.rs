//! The operators' calls about roll-outs: start one, and read its progress.

use std::time::Duration;

use axum::http::Request;
use axum::http::StatusCode;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::id;
use curlewlift_core::order;
use curlewlift_core::rollout::Order;
use curlewlift_core::rollout::Phase;
use curlewlift_core::rollout::Version;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;

use crate::gateway;
use crate::gateway::Answer;
use crate::gateway::Arrival;
use crate::gateway::Environment;
use crate::gateway::Node;
use crate::gateway::note;

use super::http;
use super::operator;

/// The longest time that a roll-out may take, in seconds: a day.
const MAX_DURATION_SECONDS: f64 = 86_400.0;

/// An order as operators send it.
#[derive(Deserialize)]
struct Body {
    service: String,
    target_version: String,
    /// The time within which the roll-out is to be completed, in seconds.
    duration_s: f64,
}

/// Handles an order to start a roll-out.
pub(super) async fn start(
    node: &Node,
    environment: &Environment,
    request: Request<Incoming>,
    arrival: Arrival,
) -> Answer {
    let text = operator::body_text(request).await;
    let order = match text.and_then(|text| parse_order(&text)) {
        Ok(order) => order,
        Err(refusal) => {
            log_order(None, Some(&refusal));
            return http::refused(&refusal);
        }
    };
    let roll_out = order::Order::RollOut(order.clone());
    let result = gateway::carry_out(node, environment, roll_out, arrival).await;
    log_order(Some(&order), result.as_ref().err());
    match result {
        Ok(()) => http::empty(StatusCode::OK),
        Err(refusal) => http::refused(&known_outcome(refusal)),
    }
}

/// The service whose roll-out is asked for by `path`.
pub(super) fn service_from_path(path: &str) -> Option<String> {
    let service = path.strip_prefix("/api/rollouts/")?.strip_suffix("/get")?;
    (!service.contains('/')).then(|| service.to_owned())
}

/// Responds with the state of the last roll-out of a service.
pub(super) async fn get(node: &Node, environment: &Environment, service: &str) -> Answer {
    let service: id::Service = match service.parse() {
        Ok(service) => service,
        Err(why) => {
            let refusal = Refusal::new(Code::UnknownService, format!("{why}"));
            return http::refused(&refusal);
        }
    };
    match gateway::rollout_of(node, environment, service.clone()).await {
        Ok(Some((target, phase))) => gateway::json(rollout_json(&target, phase)),
        Ok(None) => {
            let why = format!("no roll-out of `{service}` was ordered");
            http::refused(&Refusal::new(Code::Unknown, why))
        }
        Err(refusal) => http::refused(&operator::unclear_outcome(refusal)),
    }
}

fn rollout_json(target: &Version, phase: Phase) -> String {
    let state = match phase {
        Phase::Trial | Phase::Moving => "serving",
        Phase::Completed => "completed",
        Phase::RolledBack => "rolled_back",
    };
    json!({ "state": state, "target_version": target.to_string() }).to_string()
}

/// Parses an order.
fn parse_order(text: &str) -> Result<Order, Refusal> {
    let body: Body = serde_json::from_str(text).map_err(|why| {
        Refusal::new(
            Code::BadJson,
            format!("the roll-out order cannot be parsed: {why}"),
        )
    })?;
    let bad = |why: String| {
        Refusal::new(
            Code::BadValue,
            format!("the roll-out order is invalid: {why}"),
        )
    };
    let seconds = body.duration_s;
    if !(seconds > 0.0 && seconds <= MAX_DURATION_SECONDS) {
        return Err(bad(format!(
            "duration_s is {seconds}; give a number above 0 and up to {MAX_DURATION_SECONDS}"
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

/// Leaves a refusal that the leader decided as it is, and turns any other into one that says that the outcome of
/// the order is unknown.
fn known_outcome(refusal: Refusal) -> Refusal {
    match refusal.get_code() {
        Code::Conflict | Code::UnknownService | Code::Unknown => refusal,
        _ => operator::unclear_outcome(refusal),
    }
}

fn log_order(order: Option<&Order>, refusal: Option<&Refusal>) {
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

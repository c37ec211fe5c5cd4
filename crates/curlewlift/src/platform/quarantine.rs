//! The operators' calls about quarantine: read what is in it, and release a part of prompts.

use axum::http::StatusCode;
use curlewlift_core::event::Kind;
use curlewlift_core::order::Order;
use curlewlift_core::quarantine::Case;
use curlewlift_core::quarantine::Part;
use curlewlift_core::quarantine::PartCase;
use serde_json::Value;
use serde_json::json;

use crate::gateway;
use crate::gateway::Answer;
use crate::gateway::Arrival;
use crate::gateway::Environment;
use crate::gateway::Node;
use crate::gateway::note;

use super::http;
use super::operator;

/// Where the list is read.
pub(super) const PATH: &str = "/quarantine";

/// Parses the part whose release `path` stands for.
pub(super) fn part_from_path(path: &str) -> Option<Part> {
    let id = path.strip_prefix(PATH)?.strip_prefix("/parts/")?;
    let Ok(part) = id.parse();
    (!id.is_empty()).then_some(part)
}

/// Responds with the list.
pub(super) async fn read(node: &Node, environment: &Environment) -> Answer {
    match gateway::quarantined(node, environment).await {
        Ok(list) => {
            let parts: Vec<_> = list.parts().map(part_value).collect();
            let requests: Vec<_> = list.cases().map(request_value).collect();
            gateway::json(json!({ "parts": parts, "requests": requests }).to_string())
        }
        Err(refusal) => http::refused(&operator::unclear_outcome(refusal)),
    }
}

fn part_value(case: &PartCase) -> Value {
    let crashed = case.crashed_servers.iter();
    let crashed =
        crashed.map(|(server, software)| (server.to_string(), json!(software.to_string())));
    let sound = case.sound_software.iter().map(ToString::to_string);
    json!({
        "part": case.part.to_string(),
        "customer": case.owner,
        "several_customers": case.is_shared,
        "quarantined": case.is_quarantined(),
        "crashed_servers": crashed.collect::<serde_json::Map<_, _>>(),
        "answered_by": sound.collect::<Vec<_>>(),
        "trials": case.trials,
    })
}

fn request_value(case: &Case) -> Value {
    json!({
        "identity": case.identity.to_string(),
        "customer": case.identity.customer,
        "crashed_servers": case.crashed_servers,
    })
}

/// Handles an order to release a part.
pub(super) async fn release(
    node: &Node,
    environment: &Environment,
    part: Part,
    arrival: Arrival,
) -> Answer {
    let order = Order::ReleasePart(part);
    let result = gateway::carry_out(node, environment, order, arrival).await;
    let why = result.as_ref().err().map(ToString::to_string);
    note(Kind::Command)
        .with("release", part.to_string())
        .with("answer", if why.is_none() { "taken" } else { "refused" })
        .with("why", why)
        .write();
    match result {
        Ok(()) => http::empty(StatusCode::OK),
        Err(refusal) => http::refused(&refusal),
    }
}

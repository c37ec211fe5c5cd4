//! The operators' orders to evacuate a data hall, and to end that.

use std::sync::Arc;

use axum::http::StatusCode;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::evacuation::Action;
use curlewlift_core::evacuation::Order;
use curlewlift_core::event::Kind;
use curlewlift_core::order;

use crate::gateway;
use crate::gateway::Answer;
use crate::gateway::Arrival;
use crate::gateway::Environment;
use crate::gateway::Node;
use crate::gateway::note;

use super::http;
use super::operator;

/// Parses the order that `path` stands for.
pub(super) fn order_from_path(path: &str) -> Option<Order> {
    let hall_and_action = path.strip_prefix("/api/evacuation/")?;
    let (hall, action) = hall_and_action.rsplit_once('/')?;
    let action = match action {
        "start" => Action::Start,
        "end" => Action::End,
        _ => return None,
    };
    Some(Order {
        hall: hall.into(),
        action,
        given_ms: 0,
    })
}

/// Handles an order: checks it and passes it to the leading control replica.
pub(super) async fn handle_order(
    node: &Node,
    environment: &Environment,
    order: Order,
    arrival: Arrival,
) -> Answer {
    let hall = Arc::clone(&order.hall);
    let action = order.action;
    let result = match check_hall(node, &order) {
        Ok(()) => {
            let order = order::Order::Evacuate(order);
            let result = gateway::carry_out(node, environment, order, arrival).await;
            result.map_err(operator::unclear_outcome)
        }
        Err(refusal) => Err(refusal),
    };
    let why = result.as_ref().err().map(ToString::to_string);
    note(Kind::EvacuationOrdered)
        .with("hall", &*hall)
        .with("action", action.to_string())
        .with("answer", if why.is_none() { "taken" } else { "refused" })
        .with("why", why)
        .write();
    match result {
        Ok(()) => http::empty(StatusCode::OK),
        Err(refusal) => http::refused(&refusal),
    }
}

/// Checks that the order's data hall exists.
fn check_hall(node: &Node, order: &Order) -> Result<(), Refusal> {
    if node.has_hall(&order.hall) {
        return Ok(());
    }
    let why = format!("there is no data hall `{}`", order.hall);
    Err(Refusal::new(Code::Unknown, why))
}

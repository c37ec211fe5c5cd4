//! The operators' calls: put a configuration, get the newest one, start a roll-out, evacuate a data hall, read and release
//! what is in quarantine.

use std::rc::Rc;

use axum::http::Method;
use axum::http::Request;
use axum::http::StatusCode;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::state::Document;
use curlewlift_core::state::MAX_DOCUMENT_BYTES;
use curlewlift_core::state::Publication;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;

use crate::blocking;
use crate::gateway;
use crate::gateway::Answer;
use crate::gateway::Environment;
use crate::gateway::Node;
use crate::gateway::note;

use super::document;
use super::evacuations;
use super::http;
use super::quarantine;
use super::reads;
use super::rollouts;

/// Responds to an operator's request.
pub(super) async fn respond(
    node: Rc<Node>,
    environment: Rc<Environment>,
    request: Request<Incoming>,
) -> Answer {
    let arrival = node.arrival();
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::POST, "/api/config/put") => put(&node, &environment, request).await,
        (&Method::GET, "/api/config/get") => reads::get(&node, &environment, request).await,
        (&Method::POST, "/api/rollouts/start") => {
            rollouts::start(&node, &environment, request, arrival).await
        }
        (&Method::POST, _) if let Some(order) = evacuations::order_from_path(path) => {
            evacuations::handle_order(&node, &environment, order, arrival).await
        }
        (&Method::GET, _) if let Some(service) = rollouts::service_from_path(path) => {
            rollouts::get(&node, &environment, &service).await
        }
        (&Method::GET, quarantine::PATH) => quarantine::read(&node, &environment).await,
        (&Method::DELETE, _) if let Some(part) = quarantine::part_from_path(path) => {
            quarantine::release(&node, &environment, part, arrival).await
        }
        _ => http::empty(StatusCode::NOT_FOUND),
    }
}

async fn put(node: &Node, environment: &Environment, request: Request<Incoming>) -> Answer {
    let text = match body_text(request).await {
        Ok(text) => text,
        Err(refusal) => return http::refused(&refusal),
    };
    let publication = match publication(text).await {
        Ok(publication) => publication,
        Err(refusal) => {
            note(Kind::Command)
                .with("answer", "invalid")
                .with("why", refusal.get_detail())
                .write();
            return http::refused(&refusal);
        }
    };
    let number = publication.version;
    let published = gateway::publish(node, environment, publication).await;
    let why = published.as_ref().err().map(ToString::to_string);
    note(Kind::Command)
        .with("table", number)
        .with("answer", if why.is_none() { "in force" } else { "unclear" })
        .with("why", why)
        .write();
    match published {
        Ok(()) => gateway::json(format!("{{\"version\":{number}}}")),
        Err(refusal) => http::refused(&unclear_outcome(refusal)),
    }
}

/// Checks and packs a document, on another thread: a large one takes longer than requests may be held up.
async fn publication(text: String) -> Result<Publication, Refusal> {
    blocking::run(move || {
        let table = document::decode(&text)?;
        Ok(Publication {
            version: table.get_version(),
            document: Document::pack(&text),
        })
    })
    .await
}

/// The body of an operator's request, as text.
pub(super) async fn body_text(request: Request<Incoming>) -> Result<String, Refusal> {
    let body = Limited::new(request.into_body(), MAX_DOCUMENT_BYTES)
        .collect()
        .await;
    let body = body.map_err(|why| {
        let too_large = why.is::<LengthLimitError>();
        let code = if too_large {
            Code::TooLarge
        } else {
            Code::BadJson
        };
        Refusal::new(code, format!("the request body cannot be read: {why}"))
    })?;
    String::from_utf8(body.to_bytes().to_vec()).map_err(|why| {
        Refusal::new(
            Code::BadJson,
            format!("the request body cannot be read: {why}"),
        )
    })
}

/// Turns an internal failure into a refusal with status 503: the order may be in effect or not, and
/// is to be sent again.
pub(super) fn unclear_outcome(refusal: Refusal) -> Refusal {
    if refusal.get_code().status() == StatusCode::SERVICE_UNAVAILABLE.as_u16() {
        return refusal;
    }
    Refusal::new(Code::Unreachable, refusal.to_string())
}

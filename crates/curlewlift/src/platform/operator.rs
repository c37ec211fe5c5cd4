//! The operators' calls: put a configuration, read the newest one, roll a version out, evacuate a data hall.

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

use crate::gateway;
use crate::gateway::Answer;
use crate::gateway::Node;
use crate::gateway::Surroundings;
use crate::gateway::note;

use super::document;
use super::evacuations;
use super::http;
use super::rollouts;

pub(super) async fn answer(
    node: Rc<Node>,
    around: Rc<Surroundings>,
    request: Request<Incoming>,
) -> Answer {
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::POST, "/api/config/put") => put(&node, &around, request).await,
        (&Method::GET, "/api/config/get") => get(&node, &around).await,
        (&Method::POST, "/api/rollouts/start") => rollouts::start(&node, &around, request).await,
        (&Method::POST, _) if let Some(order) = evacuations::asked(path) => {
            evacuations::order(&node, &around, order).await
        }
        (&Method::GET, _) if let Some(service) = rollouts::asked(path) => {
            rollouts::get(&node, &around, &service).await
        }
        _ => http::empty(StatusCode::NOT_FOUND),
    }
}

async fn put(node: &Node, around: &Surroundings, request: Request<Incoming>) -> Answer {
    let text = match text(request).await {
        Ok(text) => text,
        Err(refusal) => return http::refused(&refusal),
    };
    let number = match document::decode(&text) {
        Ok(table) => table.get_version(),
        Err(refusal) => {
            note(Kind::Command)
                .with("answer", "invalid")
                .with("why", refusal.get_detail())
                .write();
            return http::refused(&refusal);
        }
    };
    let publication = Publication {
        version: number,
        document: Document::pack(&text),
    };
    let published = gateway::publish(node, around, publication).await;
    let why = published.as_ref().err().map(ToString::to_string);
    note(Kind::Command)
        .with("table", number)
        .with("answer", if why.is_none() { "in force" } else { "unclear" })
        .with("why", why)
        .write();
    match published {
        Ok(()) => gateway::json(format!("{{\"version\":{number}}}")),
        Err(refusal) => http::refused(&unclear(refusal)),
    }
}

async fn get(node: &Node, around: &Surroundings) -> Answer {
    match gateway::read(node, around).await {
        Ok(publication) if publication.version > 0 => match publication.document.unpack() {
            Ok(text) => gateway::json(text),
            Err(refusal) => http::refused(&unclear(refusal)),
        },
        Ok(_) => {
            let why = "no configuration was accepted yet";
            http::refused(&Refusal::new(Code::NoTable, why))
        }
        Err(refusal) => http::refused(&unclear(refusal)),
    }
}

/// The body of an order, as text.
pub(super) async fn text(request: Request<Incoming>) -> Result<String, Refusal> {
    let body = Limited::new(request.into_body(), MAX_DOCUMENT_BYTES)
        .collect()
        .await;
    let body = body.map_err(|why| {
        let large = why.is::<LengthLimitError>();
        let code = if large { Code::TooLarge } else { Code::BadJson };
        Refusal::new(code, format!("the body: {why}"))
    })?;
    String::from_utf8(body.to_bytes().to_vec())
        .map_err(|why| Refusal::new(Code::BadJson, format!("the body: {why}")))
}

/// Whatever went wrong inside: the order may be in force or not, and is to be sent again.
pub(super) fn unclear(refusal: Refusal) -> Refusal {
    if refusal.get_code().status() == StatusCode::SERVICE_UNAVAILABLE.as_u16() {
        return refusal;
    }
    Refusal::new(Code::Unreachable, refusal.to_string())
}

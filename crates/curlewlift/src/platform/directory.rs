//! Which addresses callers are to use, and whether this host takes them.

use std::rc::Rc;

use axum::http::Method;
use axum::http::Request;
use axum::http::StatusCode;
use hyper::body::Incoming;
use rand::seq::SliceRandom;
use serde_json::json;

use crate::gateway;
use crate::gateway::Answer;
use crate::gateway::Node;

use super::http;

/// The most addresses in one answer.
const MOST: usize = 64;

/// The query's field with the caller's data hall.
const HALL: &str = "zone=";

/// The query's field with the caller's region.
const REGION: &str = "region=";

/// Answers which addresses to use, for `keep` seconds.
pub(super) fn resolve(node: &Rc<Node>, keep: f64, request: &Request<Incoming>) -> Answer {
    if request.method() != Method::GET || request.uri().path() != "/api/resolve" {
        return http::empty(StatusCode::NOT_FOUND);
    }
    let query = request.uri().query().unwrap_or_default();
    let field = |name| query.split('&').find_map(|field| field.strip_prefix(name));
    let hall = field(HALL).unwrap_or_default();
    let region = field(REGION).unwrap_or_default();
    let mut addresses = node.gateways(hall, region);
    if addresses.is_empty() {
        return http::empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    addresses.shuffle(&mut rand::rng());
    addresses.truncate(MOST);
    gateway::json(json!({ "addresses": addresses, "ttl_s": keep }).to_string())
}

/// Answers whether callers may be sent here.
pub(super) fn readiness(node: &Rc<Node>, request: &Request<Incoming>) -> Answer {
    let known = request.uri().path() == "/api/readiness";
    http::empty(match (known, node.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    })
}

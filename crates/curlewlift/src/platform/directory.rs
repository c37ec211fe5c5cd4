//! Responds to callers that ask which addresses to use, and to the platform's readiness checks.

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

/// The maximum number of addresses in one response.
const MAX_ADDRESSES: usize = 64;

/// The query parameter with the caller's data hall.
const HALL_PARAMETER: &str = "zone=";

/// The query parameter with the caller's region.
const REGION_PARAMETER: &str = "region=";

/// Responds with the addresses that a caller may use for the next `ttl_seconds`.
pub(super) fn resolve(node: &Rc<Node>, ttl_seconds: f64, request: &Request<Incoming>) -> Answer {
    if request.method() != Method::GET || request.uri().path() != "/api/resolve" {
        return http::empty(StatusCode::NOT_FOUND);
    }
    let query = request.uri().query().unwrap_or_default();
    let parameter = |name| query.split('&').find_map(|pair| pair.strip_prefix(name));
    let hall = parameter(HALL_PARAMETER).unwrap_or_default();
    let region = parameter(REGION_PARAMETER).unwrap_or_default();
    let mut addresses = node.gateways(hall, region);
    if addresses.is_empty() {
        return http::empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    addresses.shuffle(&mut rand::rng());
    addresses.truncate(MAX_ADDRESSES);
    node.record_named(&addresses);
    gateway::json(json!({ "addresses": addresses, "ttl_s": ttl_seconds }).to_string())
}

/// Responds whether the platform may send callers to this host; if not, the body says what is missing.
pub(super) fn readiness(node: &Rc<Node>, request: &Request<Incoming>) -> Answer {
    if request.uri().path() != "/api/readiness" {
        return http::empty(StatusCode::NOT_FOUND);
    }
    match node.missing() {
        None => http::empty(StatusCode::OK),
        Some(missing) => http::text(StatusCode::SERVICE_UNAVAILABLE, missing),
    }
}

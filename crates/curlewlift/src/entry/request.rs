//! A request that an entry has parsed.

use std::sync::Arc;

use axum::http::HeaderMap;
use axum::http::Method;
use bytes::Bytes;
use curlewlift_core::clock::Instant;
use curlewlift_core::config;
use curlewlift_core::fleet::Prefix;
use curlewlift_core::id;
use curlewlift_core::unit::Tokens;

/// How the caller gets the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseMode {
    /// As server-sent events that end with `[DONE]`.
    Stream,
    /// Whole, once it is complete.
    Whole,
}

/// The HTTP call to the backend server.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// A request whose customer is known and whose body is parsed.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) key: id::Key,
    /// The key as the caller gave it, or as this entry generated it.
    pub(super) key_text: String,
    /// Whether the caller chose the key, and may retry with it.
    pub(super) keyed: bool,
    /// The view under which the caller generated the key, if the key has a stamp.
    pub(super) stamp: Option<id::View>,
    pub(super) customer: id::Customer,
    pub(super) rights: Arc<config::Customer>,
    pub(super) service: id::Service,
    /// Whether the request may run only once.
    pub(super) sole: bool,
    pub(super) mode: ResponseMode,
    pub(super) call: Call,
    /// A hash of method, path and body.
    pub(super) digest: u64,
    pub(super) prompt: Tokens,
    pub(super) output: Tokens,
    pub(super) prefixes: Vec<Prefix>,
    pub(super) deadline: Instant,
    pub(super) ticket: id::Ticket,
}

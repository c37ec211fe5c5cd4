//! A request that an entry has taken.

use std::sync::Arc;

use axum::http::HeaderMap;
use axum::http::Method;
use bytes::Bytes;
use curlewlift_core::clock::Instant;
use curlewlift_core::config;
use curlewlift_core::fleet::Prefix;
use curlewlift_core::id;
use curlewlift_core::unit::Tokens;

/// How the answer is to be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Shape {
    /// As server-sent events that end with `[DONE]`.
    Stream,
    /// Whole, once it is there.
    Whole,
}

/// What is called at the backend server.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// A request, its customer known and its body read.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) key: id::Key,
    /// The key as the caller gave it, or as this entry drew it.
    pub(super) key_text: String,
    /// Whether the caller drew the key, and may come back with it.
    pub(super) keyed: bool,
    /// The view under which the caller drew the key, if the key tells.
    pub(super) stamp: Option<id::View>,
    pub(super) customer: id::Customer,
    pub(super) rights: Arc<config::Customer>,
    pub(super) service: id::Service,
    /// Whether it may never be repeated.
    pub(super) sole: bool,
    pub(super) shape: Shape,
    pub(super) call: Call,
    /// A hash of method, path and body.
    pub(super) digest: u64,
    pub(super) prompt: Tokens,
    pub(super) output: Tokens,
    pub(super) prefixes: Vec<Prefix>,
    pub(super) deadline: Instant,
    pub(super) ticket: id::Ticket,
}

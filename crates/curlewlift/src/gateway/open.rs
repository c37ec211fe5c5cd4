//! Counts open requests, so that a planned stop knows when all of them have finished.

use std::rc::Rc;

use axum::http::HeaderValue;
use axum::http::Request;
use axum::http::header;
use hyper::body::Incoming;

use super::body::Answer;
use super::node::Node;
use super::request;

/// Counts a request as open while it lives, also after the caller has disconnected.
pub(super) struct OpenGuard(Rc<Node>);

impl OpenGuard {
    pub(super) fn new(node: &Rc<Node>) -> Self {
        node.open_requests.set(node.open_requests.get() + 1);
        Self(Rc::clone(node))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
        self.0
            .finished_requests
            .set(self.0.finished_requests.get() + 1);
    }
}

/// Serves a request, and counts it as open until its response has been written to its caller's connection.
pub(super) async fn handle(node: Rc<Node>, request: Request<Incoming>) -> Answer {
    let open = OpenGuard::new(&node);
    let stop_state = Rc::clone(&node);
    let mut response = request::handle(node, request).await;
    if stop_state.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response.map(|body| body.with_guard(open))
}

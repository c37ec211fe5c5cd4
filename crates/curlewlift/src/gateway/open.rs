//! Requests that are open: counted, so that a planned stop knows when all are finished.

use std::rc::Rc;

use axum::http::HeaderValue;
use axum::http::Request;
use axum::http::header;
use hyper::body::Incoming;

use super::body::Answer;
use super::body::keeping;
use super::node::Node;
use super::request;

/// Counts open requests; those that a caller has left too.
struct Open(Rc<Node>);

impl Open {
    fn new(node: &Rc<Node>) -> Self {
        node.open_requests.set(node.open_requests.get() + 1);
        Self(Rc::clone(node))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
        self.0
            .finished_requests
            .set(self.0.finished_requests.get() + 1);
    }
}

/// Answers a request, and counts it until its answer's body has gone out.
pub(super) async fn answer(node: Rc<Node>, request: Request<Incoming>) -> Answer {
    let open = Open::new(&node);
    let stopping = Rc::clone(&node);
    let mut answer = request::answer(node, request).await;
    if stopping.stopping_since.get().is_some() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer.map(|body| keeping(body, open))
}

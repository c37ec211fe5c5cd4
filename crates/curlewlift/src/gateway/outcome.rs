//! The response for the caller: a refusal, a server's complete response, or a stream.

use axum::http::Response;
use axum::http::header;
use axum::http::response;
use bytes::Bytes;
use curlewlift_core::event::Kind;

use super::body;
use super::body::Answer;
use super::body::ResponseBody;
use super::exchange::ResponseStart;
use super::forward::ForwardedRequest;
use super::held_bytes::HeldBytes;
use super::held_bytes::STREAM_BYTES;
use super::log::Line;
use super::log::millis;
use super::outgoing;
use super::refuse::Refused;
use super::relay;
use super::request;

impl ForwardedRequest {
    /// The refusal of an admitted request, or a server's error response if there is one.
    pub(super) fn refusal_response(&mut self, refusal: &Refused) -> Answer {
        if let Some((head, body)) = self.failed_response.take() {
            return self.full_response(head, body);
        }
        self.outcome_logged = true;
        let line = self.admitted.log_line(Kind::Refused);
        let line = self.node.with_stop(line, self.admitted.need(&self.node));
        request::refused(line, refusal)
    }

    /// A server's response that has arrived completely.
    pub(super) fn full_response(&mut self, head: response::Parts, body: Bytes) -> Answer {
        self.outcome_logged = true;
        if head.status.is_success() {
            self.record_response_time();
        }
        self.end_line(head.status.as_u16(), "whole").write();
        let memory = HeldBytes::new(&self.node);
        memory.extend(body.len());
        to_caller(head, Some(body.len()), body::full(body).with_guard(memory))
    }

    /// A server's response that is forwarded as it arrives.
    pub(super) fn stream_response(&mut self, response_start: ResponseStart) -> Answer {
        self.outcome_logged = true;
        self.failed_response = None;
        let head = response_start.head.clone();
        let memory = HeldBytes::new(&self.node);
        memory.extend(STREAM_BYTES);
        let mut begun = self.clone();
        begun.is_streaming = true;
        let body = relay::body(begun, response_start);
        to_caller(head, None, body.with_guard(memory))
    }

    /// Records how long the request has taken, for others of its rule.
    pub(super) fn record_response_time(&self) {
        let rule = &self.admitted.rule.name;
        self.node
            .record_response_time(rule, self.admitted.deadline.elapsed());
    }

    /// The log line that says that the caller has received the complete response.
    pub(super) fn end_line(&self, status: u16, how: &str) -> Line {
        let elapsed = self.admitted.deadline.elapsed();
        metrics::histogram!("curlewlift_answer_seconds").record(elapsed.as_secs_f64());
        Line::new(Kind::Ended)
            .request(self.admitted.head_fields.id.as_ref())
            .with("identity", self.admitted.features.identity.to_string())
            .with("status", status)
            .with("how", how)
            .with("sent", self.attempts())
            .with("server", self.tried.last().map(|server| &**server))
            .with("first_ms", self.first_byte.map(millis))
            .silence(self.silence)
            .after(elapsed)
    }
}

/// The response for the caller: the server's head without its hop-by-hop headers, and `body`.
fn to_caller(head: response::Parts, length: Option<usize>, body: ResponseBody) -> Answer {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    let mut headers = head.headers;
    outgoing::remove_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    if let Some(length) = length {
        headers.insert(header::CONTENT_LENGTH, length.into());
    }
    *response.headers_mut() = headers;
    response
}

//! How a request ends: with a refusal, a server's whole answer, or a stream.

use std::time::Duration;

use axum::http::Response;
use axum::http::header;
use axum::http::response;
use bytes::Bytes;
use curlewlift_core::event::Kind;

use super::body;
use super::body::Answer;
use super::body::ResponseBody;
use super::exchange::Coming;
use super::log::Line;
use super::log::millis;
use super::refuse::Refused;
use super::relay;
use super::request;
use super::run::Run;
use super::sending;

impl Run {
    /// This gateway's own answer to a request that it took, or the answer of a server that failed
    /// where there is one.
    pub(super) fn refuse(&mut self, refusal: &Refused) -> Answer {
        if let Some((head, body)) = self.kept.take() {
            return self.whole(head, body);
        }
        self.told = true;
        request::refused(self.admitted.line(Kind::Refused), refusal)
    }

    /// A server's answer that is there whole.
    pub(super) fn whole(&mut self, head: response::Parts, body: Bytes) -> Answer {
        self.told = true;
        self.log_end(head.status.as_u16(), "whole", None);
        pass_on(head, Some(body.len()), body::full(body))
    }

    /// A server's answer that is passed on as it comes.
    pub(super) fn stream(&mut self, coming: Coming) -> Answer {
        self.told = true;
        self.kept = None;
        let head = coming.head.clone();
        let body = relay::body(self.clone(), coming);
        pass_on(head, None, body)
    }

    /// Says in the log that the caller got all there is; of a stream with the number of its pieces, and
    /// the longest pause between two of them.
    pub(super) fn log_end(&self, status: u16, how: &str, pieces: Option<(u32, Duration)>) {
        Line::new(Kind::Ended)
            .request(self.admitted.call.id.as_ref())
            .with("identity", self.admitted.identity.to_string())
            .with("status", status)
            .with("how", how)
            .with("sent", self.sendings())
            .with("server", self.tried.last().map(|server| &**server))
            .with("first_ms", self.first.map(millis))
            .with("pieces", pieces.map(|(count, _)| count))
            .with("longest_ms", pieces.map(|(_, longest)| millis(longest)))
            .after(self.admitted.deadline.age())
            .write();
        let seconds = self.admitted.deadline.age().as_secs_f64();
        metrics::histogram!("curlewlift_answer_seconds").record(seconds);
    }
}

/// The head as the caller gets it: the server's own, but for what concerns one connection only.
fn pass_on(head: response::Parts, length: Option<usize>, body: ResponseBody) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    let mut headers = head.headers;
    sending::strip(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    if let Some(length) = length {
        headers.insert(header::CONTENT_LENGTH, length.into());
    }
    *answer.headers_mut() = headers;
    answer
}

//! Forwards a stream as it arrives, and resumes it at another server if it breaks off and its rule allows that.

use std::sync::Arc;
use std::time::Duration;

use axum::http::StatusCode;
use bytes::Bytes;
use curlewlift_core::event::Kind;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::route;
use curlewlift_core::sse::Decoder;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::body::ResponseBody;
use super::body::TruncatedBody;
use super::events::EventSplitter;
use super::exchange;
use super::exchange::Connection;
use super::exchange::Failure;
use super::exchange::Framing;
use super::exchange::ResponseStart;
use super::failure;
use super::forward::ForwardedRequest;
use super::log::Line;
use super::log::millis;
use super::slot::Slot;
use super::stream_timer::StreamTimer;

/// A stream that is being forwarded.
struct Relay {
    request: ForwardedRequest,
    body: Incoming,
    slot: Option<Slot>,
    /// The connection that `body` arrives over.
    connection: Option<Connection>,
    /// Splits a resumable stream into events; none for other streams.
    events: Option<EventSplitter>,
    /// How the end of the body is marked.
    framing: Framing,
    /// Finds where the events end, for the log; none for other responses.
    decoder: Option<Decoder>,
    /// Time from the last attempt to the head of its response.
    first_byte: Duration,
    /// When the head of the last response arrived.
    head_received: Instant,
    /// Chunks that have arrived since then.
    chunks: u32,
    /// When the last chunk was forwarded to the caller; none before the first.
    last_forwarded: Option<Instant>,
    /// The longest time between two chunks for the caller.
    longest_gap: Duration,
    /// Times the events of the last response, if the hub places requests by estimates.
    timer: Option<StreamTimer>,
    /// Whether the stream has been forwarded to its end, or truncated.
    finished: bool,
}

/// The response body that forwards a stream.
pub(super) fn body(request: ForwardedRequest, response_start: ResponseStart) -> ResponseBody {
    let first_byte = response_start.first_byte;
    let kind = request.admitted.rule.kind;
    let resumable = kind == route::Kind::Resumable;
    let framing = response_start.framing();
    let decoder = response_start.is_event_stream(kind).then(Decoder::default);
    let (_, body, slot, connection) = response_start.into_parts();
    let mut relay = Relay {
        request,
        body,
        slot: Some(slot),
        connection: Some(connection),
        events: resumable.then(EventSplitter::default),
        framing,
        decoder,
        first_byte,
        head_received: Instant::now(),
        chunks: 0,
        last_forwarded: None,
        longest_gap: Duration::ZERO,
        timer: None,
        finished: false,
    };
    relay.start_timer();
    let chunks = futures::stream::unfold(relay, |mut relay| async move {
        let chunk = relay.next_chunk().await?;
        Some((chunk.map(Frame::data), relay))
    });
    Box::pin(StreamBody::new(chunks))
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.finished {
            Line::new(Kind::CallerLeft)
                .request(self.request.admitted.head_fields.id.as_ref())
                .with("pieces", self.chunks)
                .after(self.request.admitted.deadline.elapsed())
                .write();
        }
    }
}

impl Relay {
    /// The next chunk for the caller; none at the end.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, TruncatedBody>> {
        while !self.finished {
            let until = self.request.admitted.deadline.timer_instant();
            let Ok(frame) = tokio::time::timeout_at(until, self.body.frame()).await else {
                return Some(Err(self.truncate("the deadline has passed".to_owned())));
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if let Some(chunk) = self.forwardable(data) {
                        self.record_event();
                        self.record_forwarded();
                        return Some(Ok(chunk));
                    }
                }
                Some(Err(error)) => {
                    if let Some(slot) = &mut self.slot {
                        let lost = Failure::ConnectionLost(error.to_string());
                        failure::record(&exchange::explain(lost, slot).await, slot);
                    }
                    if !self.resume(&error.to_string()).await {
                        return Some(Err(self.truncate(error.to_string())));
                    }
                }
                None => return self.finish().map(Ok),
            }
        }
        None
    }

    /// The part of `data` that may be forwarded now: complete events only, if the stream is resumable.
    fn forwardable(&mut self, data: Bytes) -> Option<Bytes> {
        self.chunks += 1;
        if let Some(decoder) = &mut self.decoder {
            decoder.push(&data);
            while decoder.next_event().is_some() {}
        }
        let Some(events) = &mut self.events else {
            return Some(data);
        };
        let complete = events.push(&data);
        (!complete.is_empty()).then_some(complete)
    }

    /// Begins to time the events of the response whose head has just arrived.
    fn start_timer(&mut self) {
        let node = &self.request.node;
        let is_timed = node.places_by_estimates(&self.request.service);
        self.timer = is_timed.then(|| StreamTimer::new(self.first_byte, self.head_received));
    }

    /// Records that an event has arrived.
    fn record_event(&mut self) {
        let Some(timer) = &mut self.timer else {
            return;
        };
        let Some(first_event) = timer.record_event(Instant::now()) else {
            return;
        };
        let rule = &self.request.admitted.rule.name;
        self.request.node.record_first_byte_time(rule, first_event);
        if let Some(slot) = &self.slot {
            slot.report_first_event(first_event);
        }
    }

    /// Records that a chunk is forwarded to the caller.
    fn record_forwarded(&mut self) {
        let now = Instant::now();
        if let Some(previous) = self.last_forwarded.replace(now) {
            self.longest_gap = self.longest_gap.max(now - previous);
        }
    }

    /// Handles the end of the stream; returns what is left to forward.
    fn finish(&mut self) -> Option<Bytes> {
        self.finished = true;
        let gaps = self.chunks.saturating_sub(1);
        let gap = (gaps > 0).then(|| self.head_received.elapsed() / gaps);
        if let Some(slot) = &mut self.slot {
            let times = self.timer.as_ref().and_then(StreamTimer::times);
            let answered = AttemptOutcome::Answered {
                first_byte: self.first_byte,
                gap,
            };
            slot.set_completed(times.map_or(answered, AttemptOutcome::Streamed));
        }
        self.slot = None;
        let status = StatusCode::OK.as_u16();
        let line = self
            .request
            .end_line(status, "stream")
            .with("pieces", self.chunks)
            .with("longest_ms", millis(self.longest_gap));
        self.log_framing(line).write();
        let remainder = self.events.as_mut().map(EventSplitter::remainder)?;
        (!remainder.is_empty()).then_some(remainder)
    }

    /// Adds to a log line how the server marks the end of the response, and whether an event is incomplete.
    fn log_framing(&self, line: Line) -> Line {
        let incomplete = self.decoder.as_ref().map(Decoder::incomplete_bytes);
        line.with("framing", self.framing.as_str())
            .with("incomplete_bytes", incomplete)
    }

    /// Ends a stream that can neither continue nor be resumed.
    fn truncate(&mut self, reason: String) -> TruncatedBody {
        self.finished = true;
        if let Some(slot) = &mut self.slot
            && !self.request.admitted.deadline.is_past()
        {
            slot.set_outcome(AttemptOutcome::Broken);
        }
        self.slot = None;
        self.connection = None;
        let line = Line::new(Kind::Ended)
            .request(self.request.admitted.head_fields.id.as_ref())
            .with("identity", self.request.admitted.identity.to_string())
            .with("server", self.request.tried.last().map(|server| &**server))
            .with("how", "cut")
            .with("why", reason.as_str())
            .with("pieces", self.chunks)
            .after(self.request.admitted.deadline.elapsed());
        self.log_framing(line).write();
        metrics::counter!("curlewlift_cut").increment(1);
        TruncatedBody(reason)
    }

    /// Resumes the stream at another server after it broke off; false if that is not possible.
    async fn resume(&mut self, reason: &str) -> bool {
        let Some(last_event_id) = self.events.as_mut().map(EventSplitter::reset) else {
            return false;
        };
        self.slot = None;
        // The former server must have stopped before another one continues.
        self.connection = None;
        while self.request.attempts() < self.request.admitted.rule.attempts {
            self.request.not_run_attempts += 1;
            let Ok(slot) = self.request.acquire_slot().await else {
                continue;
            };
            if !self.request.may_send(&slot) {
                return false;
            }
            let Some(response_start) = self.request_remainder(slot, last_event_id.as_deref()).await
            else {
                continue;
            };
            Line::new(Kind::Resumed)
                .request(self.request.admitted.head_fields.id.as_ref())
                .with("identity", self.request.admitted.identity.to_string())
                .with("server", &*response_start.slot.server.incarnation)
                .with("after_event", last_event_id.as_deref())
                .with("why", reason)
                .write();
            self.switch_to(response_start);
            return true;
        }
        false
    }

    /// Continues the stream with `response_start`.
    fn switch_to(&mut self, response_start: ResponseStart) {
        self.head_received = Instant::now();
        self.chunks = 0;
        self.framing = response_start.framing();
        self.decoder = self.decoder.take().map(|_| Decoder::default());
        self.first_byte = response_start.first_byte;
        let (_, body, slot, connection) = response_start.into_parts();
        self.body = body;
        self.slot = Some(slot);
        self.connection = Some(connection);
        self.start_timer();
    }

    /// Requests the stream from the server of `slot`, starting after the event `last_event_id`.
    async fn request_remainder(
        &mut self,
        slot: Slot,
        last_event_id: Option<&str>,
    ) -> Option<ResponseStart> {
        let server = Arc::clone(&slot.server.incarnation);
        self.request.tried.push(server);
        let prepare = |slot: &Slot| self.request.prepare(slot, last_event_id);
        let deadline = &self.request.admitted.deadline;
        let silence_limit = self.request.silence_limit();
        let dialect = self.request.node.dialect;
        let response = exchange::send(prepare, slot, dialect, deadline, silence_limit).await;
        let mut response_start = match response {
            Ok(response_start) => response_start,
            Err((failure, mut slot)) => {
                failure::record(&failure, &mut slot);
                return None;
            }
        };
        let mismatched = response_start
            .mismatch(self.request.admitted.head_fields.id.as_ref())
            .is_some();
        if mismatched || response_start.head.status != StatusCode::OK {
            let failure = response_start.not_run_failure();
            match failure {
                Some(failure) => drop(failure::record(&failure, &mut response_start.slot)),
                None => response_start.slot.set_outcome(AttemptOutcome::Broken),
            }
            return None;
        }
        Some(response_start)
    }
}

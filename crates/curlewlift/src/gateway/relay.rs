//! Forwards a stream as it arrives, and resumes it at another server if it breaks off and its rule allows that.

use std::sync::Arc;
use std::time::Duration;

use axum::http::StatusCode;
use bytes::Bytes;
use curlewlift_core::event::Kind;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::response::DataEnd;
use curlewlift_core::route;
use curlewlift_core::sse::MAX_EVENT_BYTES;
use curlewlift_core::sse::ResumePoint;
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
use super::forward;
use super::forward::ForwardedRequest;
use super::held_bytes::HeldBytes;
use super::held_bytes::STREAM_BYTES;
use super::log::Line;
use super::log::millis;
use super::slot::Slot;
use super::stream_timer::StreamTimer;

/// Maximum length of a response that doesn't consist of events, in bytes.
const MAX_UNSTRUCTURED_BYTES: usize = 64 << 20;

/// A stream that is being forwarded.
struct Relay {
    request: ForwardedRequest,
    status: StatusCode,
    /// What had been read of the body before.
    begun: Option<Bytes>,
    body: Incoming,
    slot: Option<Slot>,
    /// The connection that `body` arrives over.
    connection: Option<Connection>,
    /// Splits the stream into events; none if it doesn't consist of events.
    events: Option<EventSplitter>,
    /// Whether its rule allows it to be resumed.
    is_resumable: bool,
    /// How the end of the body is marked.
    framing: Framing,
    /// The bytes that were received, if it doesn't consist of events.
    unstructured_bytes: usize,
    /// The memory for an incomplete event.
    memory: HeldBytes,
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
    let is_event_stream = response_start.is_event_stream(kind);
    let framing = response_start.framing();
    let memory = HeldBytes::new(&request.node);
    let begun = Some(response_start.begun).filter(|begun| !begun.is_empty());
    let mut relay = Relay {
        request,
        status: response_start.head.status,
        begun,
        body: response_start.body,
        slot: Some(response_start.slot),
        connection: Some(response_start.connection),
        events: is_event_stream.then(EventSplitter::default),
        is_resumable: kind == route::Kind::Resumable,
        framing,
        unstructured_bytes: 0,
        memory,
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
    ResponseBody::new(StreamBody::new(chunks))
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.finished {
            self.request
                .node
                .abandoned_line()
                .request(self.request.admitted.head_fields.id.as_ref())
                .with("pieces", self.chunks)
                .silence(self.slot.as_ref().and_then(Slot::long_silence))
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
            let failure = match tokio::time::timeout_at(until, self.next_complete()).await {
                Ok(Ok(Some(complete))) => {
                    self.record_event();
                    self.record_origin();
                    self.record_forwarded();
                    return Some(Ok(complete));
                }
                Ok(Ok(None)) => {
                    self.finish();
                    return None;
                }
                Ok(Err(failure)) => failure,
                Err(_) => {
                    if let Some(slot) = &mut self.slot {
                        slot.record_deadline();
                    }
                    let reason = "the deadline has passed".to_owned();
                    return Some(Err(self.truncate(reason).await));
                }
            };
            if let Err(truncated) = self.recover(failure).await {
                return Some(Err(truncated));
            }
        }
        None
    }

    /// The next part of the body that may be forwarded: complete events only, if it consists of events. Returns nothing at
    /// its end.
    async fn next_complete(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            self.check_event_size()?;
            let Some(data) = self.next_data().await? else {
                let events = self.events.as_ref();
                let is_complete = events.is_none_or(EventSplitter::is_at_boundary);
                return is_complete.then_some(None).ok_or(Failure::EndedInEvent);
            };
            self.chunks += 1;
            let complete = match &mut self.events {
                Some(events) => events.push(&data),
                None => data,
            };
            self.record_received(&complete)?;
            if !complete.is_empty() {
                return Ok(Some(complete));
            }
        }
    }

    /// Records that data of the body has been received, of which `complete` can be forwarded.
    fn record_received(&mut self, complete: &Bytes) -> Result<(), Failure> {
        if self.events.is_none() {
            self.unstructured_bytes += complete.len();
            if self.unstructured_bytes > MAX_UNSTRUCTURED_BYTES {
                let reason = "the response is too long";
                return Err(Failure::Unknown(reason.to_owned()));
            }
        }
        if let Some(connection) = &self.connection {
            let end = self.events.as_ref().map(EventSplitter::data_end);
            connection
                .received
                .use_data(end.unwrap_or(DataEnd::Boundary));
        }
        Ok(())
    }

    /// Holds the memory for an incomplete event, unless it is too long.
    fn check_event_size(&self) -> Result<(), Failure> {
        let events = self.events.as_ref();
        let incomplete = events.map_or(0, EventSplitter::incomplete_bytes);
        if incomplete > MAX_EVENT_BYTES {
            let reason = "an event of the response is too long";
            return Err(Failure::Unknown(reason.to_owned()));
        }
        let beyond_buffers = incomplete.saturating_sub(STREAM_BYTES);
        if !self.memory.try_grow_to(beyond_buffers) {
            let reason = "this host has no memory for an event of the response";
            return Err(Failure::Unknown(reason.to_owned()));
        }
        Ok(())
    }

    /// The next data of the body; none at its end.
    async fn next_data(&mut self) -> Result<Option<Bytes>, Failure> {
        if let Some(begun) = self.begun.take() {
            return Ok(Some(begun));
        }
        while let Some(frame) = self.body.frame().await {
            let frame = frame?;
            if let Ok(data) = frame.into_data() {
                if let Some(slot) = &mut self.slot {
                    slot.record_data();
                }
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Resumes the stream at another server after it broke off.
    ///
    /// # Errors
    ///
    /// If that is not possible, so that the response must be truncated.
    async fn recover(&mut self, failure: Failure) -> Result<(), TruncatedBody> {
        self.keep_longest_silence();
        let reason = match &mut self.slot {
            Some(slot) => {
                let failure = exchange::explain(failure, slot).await;
                failure::record(&failure, slot)
            }
            None => String::new(),
        };
        if self.resume(&reason).await {
            return Ok(());
        }
        Err(self.truncate(reason).await)
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

    /// Records which server sends the first event that is forwarded.
    fn record_origin(&mut self) {
        let has_event = self.events.as_ref().is_some_and(EventSplitter::has_event);
        if let Some(slot) = &self.slot
            && has_event
        {
            self.request.record_origin(&slot.server);
        }
    }

    /// Records that a chunk is forwarded to the caller.
    fn record_forwarded(&mut self) {
        let now = Instant::now();
        if let Some(previous) = self.last_forwarded.replace(now) {
            self.longest_gap = self.longest_gap.max(now - previous);
        }
    }

    /// Keeps the longest silence of the server for the log line of the response, as the slot does not last until then.
    fn keep_longest_silence(&mut self) {
        if let Some(slot) = &self.slot {
            self.request.silence = slot.long_silence();
        }
    }

    /// Handles the end of the stream.
    fn finish(&mut self) {
        self.finished = true;
        self.request.record_response_time();
        let gaps = self.chunks.saturating_sub(1);
        let gap = (gaps > 0).then(|| self.head_received.elapsed() / gaps);
        self.keep_longest_silence();
        if let Some(slot) = &mut self.slot {
            let times = self.timer.as_ref().and_then(StreamTimer::times);
            let answered = forward::complete_outcome(self.status, self.first_byte, gap);
            let outcome = times.map_or(answered, AttemptOutcome::Streamed);
            slot.set_completed(outcome, self.status);
        }
        self.slot = None;
        let line = self
            .request
            .end_line(self.status.as_u16(), "stream")
            .with("pieces", self.chunks)
            .with("longest_ms", millis(self.longest_gap));
        self.log_framing(line).write();
    }

    /// Adds to a log line how the server marks the end of the response, and whether an event is incomplete.
    fn log_framing(&self, line: Line) -> Line {
        let incomplete = self.events.as_ref().map(EventSplitter::incomplete_bytes);
        line.with("framing", self.framing.as_str())
            .with("incomplete_bytes", incomplete)
    }

    /// Ends a stream that can neither continue nor be resumed.
    async fn truncate(&mut self, reason: String) -> TruncatedBody {
        self.finished = true;
        self.keep_longest_silence();
        self.slot = None;
        self.connection = None;
        let line = Line::new(Kind::Ended)
            .request(self.request.admitted.head_fields.id.as_ref())
            .with(
                "identity",
                self.request.admitted.features.identity.to_string(),
            )
            .with("server", self.request.tried.last().map(|server| &**server))
            .with("how", "cut")
            .with("why", reason.as_str())
            .with("pieces", self.chunks)
            .silence(self.request.silence)
            .after(self.request.admitted.deadline.elapsed());
        self.log_framing(line).write();
        metrics::counter!("curlewlift_cut").increment(1);
        // The caller's connection drops what it has not written when it gets the error.
        tokio::task::yield_now().await;
        TruncatedBody(reason)
    }

    /// Where the stream can be resumed, if it can.
    fn resume_point(&mut self) -> Option<ResumePoint> {
        let events = self.events.as_mut().filter(|_| self.is_resumable)?;
        events.resume()
    }

    /// Resumes the stream at another server after it broke off; false if that is not possible.
    async fn resume(&mut self, reason: &str) -> bool {
        let Some(resume_point) = self.resume_point() else {
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
            let Some(response_start) = self.request_remainder(slot, &resume_point).await else {
                continue;
            };
            Line::new(Kind::Resumed)
                .request(self.request.admitted.head_fields.id.as_ref())
                .with(
                    "identity",
                    self.request.admitted.features.identity.to_string(),
                )
                .with("server", &*response_start.slot.server.incarnation)
                .with("version", response_start.slot.server.version.to_string())
                .with("after_event", resume_point.event_id())
                .with("why", reason)
                .silence(self.request.silence)
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
        self.first_byte = response_start.first_byte;
        self.body = response_start.body;
        self.slot = Some(response_start.slot);
        self.connection = Some(response_start.connection);
        self.start_timer();
    }

    /// Requests the stream from the server of `slot`, starting at `resume_point`.
    async fn request_remainder(
        &mut self,
        slot: Slot,
        resume_point: &ResumePoint,
    ) -> Option<ResponseStart> {
        let server = Arc::clone(&slot.server.incarnation);
        self.request.tried.push(server);
        let prepare = |slot: &Slot| self.request.prepare(slot, resume_point.event_id());
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
        let is_event_stream = response_start.is_event_stream(self.request.admitted.rule.kind);
        let is_rest = response_start.head.status == StatusCode::OK && is_event_stream;
        if mismatched || !is_rest {
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

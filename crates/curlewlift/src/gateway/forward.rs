//! Forwards an admitted request: waits for a slot at a backend server, sends the request there, and retries
//! it where that is allowed.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use axum::http::Request;
use axum::http::StatusCode;
use axum::http::response;
use bytes::Bytes;
use curlewlift_core::event::Kind;
use curlewlift_core::id;
use curlewlift_core::pool;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::response::Silence;
use http_body_util::Full;

use super::admit::Admitted;
use super::body::Answer;
use super::dialect::BackendHead;
use super::exchange;
use super::exchange::Failure;
use super::exchange::ResponseStart;
use super::hub_slots::AttemptContext;
use super::log::millis;
use super::node::Node;
use super::outgoing;
use super::refuse::Refused;
use super::service::Service;
use super::slot::Slot;
use super::slot::log_limit;
use super::slot_queue::NoSlot;
use super::slot_wait;
use super::stream::Stream;

/// Lower bound of the time without a response after which a server counts as timed out; above it, that time is three
/// times the latency objective.
const MIN_SILENCE_LIMIT: Duration = Duration::from_secs(1);

/// An admitted request that is being forwarded.
#[derive(Clone)]
pub(super) struct ForwardedRequest {
    pub(super) node: Rc<Node>,
    pub(super) admitted: Admitted,
    pub(super) service: id::Service,
    /// The stream that it begins or takes up.
    pub(super) stream: Stream,
    /// Attempts at servers that may have begun to run it.
    pub(super) maybe_run_attempts: u8,
    /// Attempts at servers that reported that they did not run it, or were not reachable.
    pub(super) not_run_attempts: u8,
    /// The servers that it was sent to, by incarnation.
    pub(super) tried: Vec<Arc<str>>,
    /// Time from the last attempt to the head of the response.
    pub(super) first_byte: Option<Duration>,
    /// The longest silence of the last server, if it was long.
    pub(super) silence: Option<Silence>,
    /// A server's complete error response, for the caller if no other server gives a better one.
    pub(super) failed_response: Option<(response::Parts, Bytes)>,
    /// Whether the caller has received a part of the response.
    pub(super) is_streaming: bool,
    /// Whether its outcome has been logged, or is logged by the relay of its stream.
    pub(super) outcome_logged: bool,
}

impl Drop for ForwardedRequest {
    fn drop(&mut self) {
        if !self.outcome_logged {
            self.node
                .abandoned_line()
                .request(self.admitted.head_fields.id.as_ref())
                .with("identity", self.admitted.features.identity.to_string())
                .with("sent", self.attempts())
                .with("server", self.tried.last().map(|server| &**server))
                .after(self.admitted.deadline.elapsed())
                .write();
        }
    }
}

/// The result of an attempt.
pub(super) enum Step {
    /// There is a response for the caller.
    Respond(Answer),
    /// The request is to be retried.
    Retry,
}

impl ForwardedRequest {
    /// A request that has not been sent yet.
    pub(super) fn new(
        node: Rc<Node>,
        admitted: Admitted,
        service: id::Service,
        stream: Stream,
    ) -> Self {
        Self {
            node,
            admitted,
            service,
            stream,
            maybe_run_attempts: 0,
            not_run_attempts: 0,
            tried: Vec::new(),
            first_byte: None,
            silence: None,
            failed_response: None,
            is_streaming: false,
            outcome_logged: false,
        }
    }

    /// Sends the request until there is a response for the caller.
    pub(super) async fn run(mut self) -> Answer {
        self.count_request();
        loop {
            if self.admitted.deadline.is_past() {
                let refusal = self.deadline_refusal();
                return self.refusal_response(&refusal);
            }
            let slot = match self.acquire_slot().await {
                Ok(slot) => slot,
                Err(refusal) => return self.refusal_response(&refusal),
            };
            if !self.may_send(&slot) {
                drop(slot);
                let refusal = self.retry_budget_refusal();
                return self.refusal_response(&refusal);
            }
            match self.send_attempt(slot).await {
                Ok(Step::Respond(answer)) => return answer,
                Ok(Step::Retry) => {}
                Err(refusal) => return self.refusal_response(&refusal),
            }
        }
    }

    /// The number of attempts, whatever their outcome.
    pub(super) fn attempts(&self) -> u8 {
        self.maybe_run_attempts + self.not_run_attempts
    }

    /// Waits for a slot at a backend server.
    pub(super) async fn acquire_slot(&mut self) -> Result<Slot, Refused> {
        let is_cut_off = |service: &mut Service| self.node.is_cut_off(service);
        if self.node.with_service(&self.service, is_cut_off) == Some(true) {
            return Err(self.no_slot_refusal(NoSlot::NoPath));
        }
        let allowed_versions = self.allowed_versions().await;
        let admitted = &self.admitted;
        let now = self.node.now();
        let wait_limit = admitted.wait_limit(&self.node);
        let max_wait = wait_limit.max_wait();
        // A request that lost its server is not demoted as late, so it goes before the others of its rank: it has used
        // capacity already. So has one that takes up a stream.
        let send_within = if self.attempts() > 0 || self.stream.version().is_some() {
            max_wait
        } else {
            wait_limit.send_within()
        };
        let pool_request = pool::Request {
            rule: None,
            customer: admitted.policy.as_ref().map(|policy| policy.name.clone()),
            rank: admitted.rank(),
            arrived: admitted.deadline.arrived.at,
            send_by: now + send_within,
            begin_by: now + wait_limit.begin_within(),
            max_gap: admitted.rule.max_gap,
            wait_until: now + max_wait,
            prompt: admitted.prompt(),
            output: admitted.output(),
            hall: Arc::clone(&self.node.gateway.hall),
            tried: self.tried.clone(),
            avoid: Vec::new(),
            backoffs: Vec::new(),
            allowed_halls: admitted.allowed_halls.clone(),
            allowed_versions: allowed_versions.clone(),
        };
        let charge = self.admitted.charge.as_ref();
        let context = AttemptContext {
            service: &self.service,
            rule: &self.admitted.rule.name,
            features: &self.admitted.features,
            time_left: self.admitted.deadline.remaining(),
            allowed_halls: self.admitted.allowed_halls.as_ref(),
            allowed_versions: allowed_versions.as_ref(),
            needs_retry: self.lacks_retry_budget(),
        };
        let slot = tokio::select! {
            biased;
            () = self.wait_until_refused() => Err(NoSlot::Stopping),
            slot = slot_wait::wait(&self.node, context, pool_request, charge, max_wait) => slot,
        };
        match slot {
            Ok(slot) => {
                // The cost is charged to the quota once, however many attempts there are.
                self.admitted.charge = None;
                Ok(slot)
            }
            Err(reason) => Err(self.no_slot_refusal(reason)),
        }
    }

    /// Charges the attempt to the retry budget, and builds the request for the server of `slot` with the time that is
    /// left.
    ///
    /// # Errors
    ///
    /// If this gateway might end before the request does, or the attempt is a retry and none is left.
    pub(super) fn prepare(
        &self,
        slot: &Slot,
        last_event_id: Option<&str>,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        if !self.may_begin() {
            return Err(Failure::Stopping);
        }
        if !self.charge_attempt(slot) {
            return Err(Failure::RetryDenied);
        }
        let admitted = &self.admitted;
        let policy = admitted.policy.as_ref();
        let backend_head = BackendHead {
            timeout: admitted.deadline.remaining(),
            server: &slot.server.name,
            customer: policy.map(|policy| policy.name.as_str()),
            last_event_id,
        };
        Ok(outgoing::build_request(
            &admitted.head,
            &admitted.body,
            self.node.dialect,
            &backend_head,
        ))
    }

    /// How long the server may stay silent before it counts as timed out.
    pub(super) fn silence_limit(&self) -> Duration {
        (self.admitted.rule.objective * 3).max(MIN_SILENCE_LIMIT)
    }

    /// Logs an attempt, sends the request to the server of `slot`, and handles the result.
    async fn send_attempt(&mut self, slot: Slot) -> Result<Step, Refused> {
        let line = self
            .admitted
            .log_line(Kind::Sent)
            .with("server", &*slot.server.incarnation)
            .with("version", slot.server.version.to_string())
            .with("sent", self.attempts() + 1)
            .with("hub_ms", self.node.since_hub_reply().map(millis))
            .with(
                "by",
                if slot.is_hub_granted() {
                    "hub"
                } else {
                    "gateway"
                },
            )
            .with("left_alone_ms", millis(slot.avoid_time()));
        let line = log_limit(line, &slot.server_limit());
        let line = self.node.with_stop(line, self.admitted.need(&self.node));
        let resumption = self.admitted.head_fields.resumption.as_ref();
        match resumption {
            Some(resumption) => resumption.log(line).write(),
            None => line.write(),
        }
        self.tried.push(Arc::clone(&slot.server.incarnation));
        let prepare = |slot: &Slot| self.prepare(slot, None);
        let deadline = &self.admitted.deadline;
        let sent = exchange::send(
            prepare,
            slot,
            self.node.dialect,
            deadline,
            self.silence_limit(),
        )
        .await;
        match sent {
            Ok(response_start) => self.handle_head(response_start).await,
            Err((failure, slot)) => self.on_failure(&failure, slot),
        }
    }

    /// Handles the head of a response.
    async fn handle_head(&mut self, response_start: ResponseStart) -> Result<Step, Refused> {
        if let Some(reason) = response_start.mismatch(self.admitted.head_fields.id.as_ref()) {
            let failure = Failure::Unknown(reason.to_owned());
            return self.on_failure(&failure, response_start.slot);
        }
        if let Some(failure) = response_start.not_run_failure() {
            return self.on_failure(&failure, response_start.slot);
        }
        self.maybe_run_attempts += 1;
        self.first_byte = Some(response_start.first_byte);
        let status = response_start.head.status;
        let is_stream = status.is_success() && self.admitted.rule.kind.is_stream();
        // The objective counts to the first event of a stream. Its relay records that time if it is needed.
        if !(is_stream && self.node.places_by_estimates(&self.service)) {
            self.node
                .record_first_byte_time(&self.admitted.rule.name, response_start.first_byte);
        }
        metrics::histogram!("curlewlift_first_seconds")
            .record(response_start.first_byte.as_secs_f64());
        if is_stream || !response_start.is_bufferable() {
            return Ok(Step::Respond(self.stream_response(response_start)));
        }
        self.handle_full_response(response_start).await
    }

    /// Handles a response that is read completely before any of it is forwarded, unless it is too large.
    async fn handle_full_response(
        &mut self,
        mut response_start: ResponseStart,
    ) -> Result<Step, Refused> {
        let until = self.admitted.deadline.timer_instant();
        let kind = self.admitted.rule.kind;
        let body = match response_start.read_full(kind, until).await {
            Ok(Some(body)) => body,
            Ok(None) => return Ok(Step::Respond(self.stream_response(response_start))),
            Err(failure) => {
                self.maybe_run_attempts -= 1;
                return self.on_failure(&failure, response_start.slot);
            }
        };
        let ResponseStart {
            head,
            mut slot,
            first_byte,
            ..
        } = response_start;
        let outcome = complete_outcome(head.status, first_byte, None);
        let failed = outcome == AttemptOutcome::Failed;
        slot.set_completed(outcome, head.status);
        self.silence = slot.long_silence();
        drop(slot);
        if failed && self.may_run_again() {
            self.failed_response = Some((head, body));
            return Ok(Step::Retry);
        }
        Ok(Step::Respond(self.full_response(head, body)))
    }
}

/// What a complete response says about its server, where its first byte came after `first_byte` and there was the time
/// `gap` between two chunks.
pub(super) fn complete_outcome(
    status: StatusCode,
    first_byte: Duration,
    gap: Option<Duration>,
) -> AttemptOutcome {
    if status.is_server_error() {
        return AttemptOutcome::Failed;
    }
    AttemptOutcome::Answered { first_byte, gap }
}

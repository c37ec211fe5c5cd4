//! A gateway's state of one backend server.

use std::sync::Arc;

use crate::clock::Instant;
use crate::gateway::Load;
use crate::gateway::Server;
use crate::unit::Tokens;

use super::AttemptOutcome;
use super::ServerHealth;
use super::ServerLatency;
use super::estimate::EnginePace;
use super::in_flight::Limit;

/// The load, latency and health of one backend server of a pool.
#[derive(Clone, Debug)]
pub(super) struct ServerState {
    pub(super) server: Arc<Server>,
    /// Whether it is on the server list; others only get requests for which a slot was granted.
    pub(super) is_listed: bool,
    /// Requests in flight that were sent from here.
    pub(super) own_requests: u32,
    /// Requests in flight of other gateways, as last reported.
    pub(super) other_requests: u32,
    /// Those of them whose responses have not begun.
    pub(super) own_unbegun: u32,
    /// How many requests it could reject within a second, over all gateways, beside those sent from here.
    pub(super) exposure: u32,
    /// Prompt tokens of requests sent from here whose responses have not begun.
    pub(super) own_prefill_tokens: u64,
    /// The same of other gateways, as last reported.
    pub(super) other_prefill_tokens: u64,
    /// The time to the first byte of a response.
    pub(super) first_byte: ServerLatency,
    /// The time between two chunks of a stream.
    pub(super) gap: ServerLatency,
    pub(super) health: ServerHealth,
    /// How many requests it may have in flight, if that is measured.
    pub(super) limit: Limit,
    /// What its streams show, if servers are chosen by estimates.
    pub(super) pace: EnginePace,
}

impl ServerState {
    /// The state of a server that is on the list.
    pub(super) fn new(server: Arc<Server>) -> Self {
        Self {
            server,
            is_listed: true,
            own_requests: 0,
            other_requests: 0,
            own_unbegun: 0,
            exposure: 0,
            own_prefill_tokens: 0,
            other_prefill_tokens: 0,
            first_byte: ServerLatency::default(),
            gap: ServerLatency::default(),
            health: ServerHealth::default(),
            limit: Limit::default(),
            pace: EnginePace::default(),
        }
    }

    /// The same state with the server not on the list.
    pub(super) fn unlisted(self) -> Self {
        Self {
            is_listed: false,
            ..self
        }
    }

    /// Whether it may be chosen for new work.
    pub(super) fn accepts_work(&self) -> bool {
        self.is_listed && !self.server.leaving
    }

    /// Whether it may be chosen for new work and has room. Unless its limit is measured, it may have `extra` requests in
    /// flight beyond its slots.
    pub(super) fn has_room(&self, extra: u32) -> bool {
        let unmeasured = self.server.slots.max(1) + extra;
        self.accepts_work() && self.in_flight() < self.limit.get(unmeasured)
    }

    /// Whether it can begin another request in time.
    pub(super) fn admits(&self, now: Instant) -> bool {
        let slots = self.server.slots.max(1);
        self.limit.admits(self.in_flight(), slots, now)
    }

    /// Whether its state is no longer needed.
    pub(super) fn is_unused(&self) -> bool {
        self.own_requests == 0 && !self.accepts_work()
    }

    /// Requests in flight there, over all gateways.
    pub(super) fn in_flight(&self) -> u32 {
        self.own_requests + self.other_requests
    }

    /// The prompt tokens that it has not finished reading, over all gateways.
    pub(super) fn prefill_tokens(&self) -> Tokens {
        Tokens(
            self.own_prefill_tokens
                .saturating_add(self.other_prefill_tokens),
        )
    }

    /// Counts a request that is sent there.
    pub(super) fn start_request(&mut self, prompt: Tokens) {
        self.own_requests += 1;
        self.own_unbegun += 1;
        self.own_prefill_tokens = self.own_prefill_tokens.saturating_add(prompt.0);
    }

    /// Counts a request that was sent there as ended.
    pub(super) fn end_request(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
        self.own_unbegun = self.own_unbegun.min(self.own_requests);
        if self.own_requests == 0 {
            self.own_prefill_tokens = 0;
        }
    }

    /// Resets the counts of requests sent from here.
    pub(super) fn reset_own_load(&mut self) {
        self.own_requests = 0;
        self.own_unbegun = 0;
        self.own_prefill_tokens = 0;
    }

    /// Sets the load by other gateways.
    pub(super) fn set_other_load(&mut self, load: Option<&Load>) {
        self.other_requests = load.map_or(0, |load| load.requests);
        self.other_prefill_tokens = load.map_or(0, |load| load.prefill_tokens.0);
    }

    /// Its recent latency in seconds: the time between two chunks of a stream, or else to the first byte.
    pub(super) fn latency(&self) -> Option<f64> {
        self.gap.mean().or(self.first_byte.mean())
    }

    /// Marks it as draining, so that it gets no new work.
    pub(super) fn drain(&mut self) {
        let mut server = Server::clone(&self.server);
        server.leaving = true;
        self.server = Arc::new(server);
    }

    /// Updates health and latency by the outcome of an attempt.
    pub(super) fn record_outcome(&mut self, outcome: AttemptOutcome, now: Instant) {
        if let Some((first_byte, gap)) = outcome.answer_times() {
            self.health.record_response();
            self.first_byte.add(first_byte);
            if let Some(gap) = gap {
                self.gap.add(gap);
            }
        }
        match outcome {
            AttemptOutcome::Full => self.health.record_full(now),
            AttemptOutcome::Backoff(_) => self.health.record_backoff(now),
            AttemptOutcome::Failed => self.health.record_failure(),
            AttemptOutcome::Broken | AttemptOutcome::TimedOut | AttemptOutcome::Unreachable => {
                self.health.record_break(now);
            }
            AttemptOutcome::Gone => self.drain(),
            AttemptOutcome::Answered { .. }
            | AttemptOutcome::Streamed(_)
            | AttemptOutcome::Began { .. }
            | AttemptOutcome::Unknown => {}
        }
    }
}

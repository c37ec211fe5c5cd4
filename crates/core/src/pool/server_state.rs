//! What a gateway knows of one backend server.

use std::sync::Arc;

use crate::clock::Instant;
use crate::gateway::Load;
use crate::gateway::Server;
use crate::unit::Tokens;

use super::AttemptOutcome;
use super::ServerHealth;
use super::ServerLatency;

/// One backend server of a pool.
#[derive(Clone, Debug)]
pub(super) struct ServerState {
    pub(super) server: Arc<Server>,
    /// Whether it is on the list; others take only what they are named for with a place.
    pub(super) listed: bool,
    /// Sent from here and not ended.
    pub(super) own: u32,
    /// What other gateways have in flight there, by the last word.
    pub(super) others: u32,
    /// Tokens of the prompts sent from here whose answer has not begun.
    pub(super) own_reading: u64,
    /// The same of other gateways, by the last word.
    pub(super) others_reading: u64,
    /// The time to the first byte of an answer.
    pub(super) first: ServerLatency,
    /// The time between two pieces of a stream.
    pub(super) gap: ServerLatency,
    pub(super) trust: ServerHealth,
}

impl ServerState {
    /// A server that is on the list.
    pub(super) fn new(server: Arc<Server>) -> Self {
        Self {
            server,
            listed: true,
            own: 0,
            others: 0,
            own_reading: 0,
            others_reading: 0,
            first: ServerLatency::default(),
            gap: ServerLatency::default(),
            trust: ServerHealth::default(),
        }
    }

    /// The same, off the list.
    pub(super) fn unlisted(self) -> Self {
        Self {
            listed: false,
            ..self
        }
    }

    /// Whether it may be chosen for new work.
    pub(super) fn takes_work(&self) -> bool {
        self.listed && !self.server.leaving
    }

    /// Whether it may be chosen for new work and has room, with `over` requests beyond its slots.
    pub(super) fn has_room(&self, over: u32) -> bool {
        self.takes_work() && self.in_flight() < self.server.slots.max(1) + over
    }

    /// Whether nothing of it is needed any more.
    pub(super) fn is_done(&self) -> bool {
        self.own == 0 && !self.takes_work()
    }

    /// Requests in flight there, over all gateways.
    pub(super) fn in_flight(&self) -> u32 {
        self.own + self.others
    }

    /// The tokens of prompts that it has not read to their end.
    pub(super) fn reading(&self) -> Tokens {
        Tokens(self.own_reading.saturating_add(self.others_reading))
    }

    /// Counts a request that is sent there.
    pub(super) fn begin(&mut self, prompt: Tokens) {
        self.own += 1;
        self.own_reading = self.own_reading.saturating_add(prompt.0);
    }

    /// Counts a request that was sent there as ended.
    pub(super) fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
        if self.own == 0 {
            self.own_reading = 0;
        }
    }

    /// Counts nothing as sent from here.
    pub(super) fn forget_own(&mut self) {
        self.own = 0;
        self.own_reading = 0;
    }

    /// Takes up what other gateways have in flight there.
    pub(super) fn hear(&mut self, load: Option<&Load>) {
        self.others = load.map_or(0, |load| load.requests);
        self.others_reading = load.map_or(0, |load| load.reading.0);
    }

    /// How long it lately took: between two pieces of a stream, else to the first byte, in seconds.
    pub(super) fn pace(&self) -> Option<f64> {
        self.gap.mean().or(self.first.mean())
    }

    /// It takes no new work from now on.
    pub(super) fn leave(&mut self) {
        let mut server = Server::clone(&self.server);
        server.leaving = true;
        self.server = Arc::new(server);
    }

    /// Takes note of how a sending ended.
    pub(super) fn judge(&mut self, end: AttemptOutcome, now: Instant) {
        match end {
            AttemptOutcome::Answered { first_byte, gap } => {
                self.trust.record_answer();
                self.first.add(first_byte);
                if let Some(gap) = gap {
                    self.gap.add(gap);
                }
            }
            AttemptOutcome::Full => self.trust.record_full(now),
            AttemptOutcome::Backoff(_) => self.trust.record_backoff(now),
            AttemptOutcome::Failed => self.trust.record_failure(),
            AttemptOutcome::Broken | AttemptOutcome::TimedOut => self.trust.record_break(now),
            AttemptOutcome::Gone => self.leave(),
            AttemptOutcome::Unknown => {}
        }
    }
}

//! What a gateway knows of one backend server.

use std::sync::Arc;

use crate::clock::Instant;
use crate::gateway::Server;

use super::End;
use super::Pace;
use super::Trust;

/// One backend server of a pool.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) server: Arc<Server>,
    /// Sent from here and not ended.
    pub(super) own: u32,
    /// What other gateways have in flight there, by the last word.
    pub(super) others: u32,
    /// The time to the first byte of an answer.
    pub(super) first: Pace,
    /// The time between two pieces of a stream.
    pub(super) gap: Pace,
    pub(super) trust: Trust,
}

impl Known {
    pub(super) fn new(server: Arc<Server>) -> Self {
        Self {
            server,
            own: 0,
            others: 0,
            first: Pace::default(),
            gap: Pace::default(),
            trust: Trust::default(),
        }
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.own + self.others
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
    pub(super) fn judge(&mut self, end: End, now: Instant) {
        match end {
            End::Good { first, gap } => {
                self.trust.good();
                self.first.add(first);
                if let Some(gap) = gap {
                    self.gap.add(gap);
                }
            }
            End::Full => self.trust.full(now),
            End::Failed => self.trust.failed(),
            End::Broken | End::Silent => self.trust.broke(now),
            End::Gone => self.leave(),
            End::Nothing => {}
        }
    }
}

//! What the hub does about limits that servers name.

use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::limit::Reports;

use super::Hub;

/// # Limits
impl Hub {
    /// Takes note of what a gateway tells of limits.
    pub(super) fn apply_limit_reports(&mut self, host: &id::Host, words: &Reports, now: Instant) {
        let last = self.dispatcher.last_grant();
        let changes = self.limits.record(host, words, last, now);
        self.dispatcher.limit(changes.into_iter(), now);
    }

    /// For how long requests waited only because servers had named limits, since this was last asked for, over all
    /// services.
    pub fn take_limit_wait(&mut self) -> Duration {
        self.dispatcher.take_held()
    }

    /// Makes what has changed of the limits ready for all gateways; whether there is anything.
    pub fn publish_limits(&mut self, now: Instant) -> bool {
        self.limits.publish(now)
    }
}

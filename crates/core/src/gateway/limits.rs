//! How the hub handles the limits that servers announce.

use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::limit::Reports;

use super::Hub;

/// How long a new hub does not know what servers, which fail when they reject too many requests, have rejected within the
/// last second: a gateway that it does not hear may have sent them requests under the former hub.
pub(super) const SETTLING_TIME: Duration = Duration::from_millis(1_100);

/// # Limits
impl Hub {
    /// Applies the limit reports of a gateway.
    pub(super) fn apply_limit_reports(&mut self, host: &id::Host, reports: &Reports, now: Instant) {
        let last_grant = self.dispatcher.last_grant();
        let changes = self.limits.record(host, reports, last_grant, now);
        self.dispatcher.set_limits(changes.into_iter(), now);
        self.dispatcher
            .record_rejections(host, &reports.rejections, now);
        self.dispatcher
            .set_settling(now.since(self.started) < SETTLING_TIME);
        self.dispatcher
            .inherit_rejection_limits(&reports.rejection_limits, now);
    }

    /// Returns for how long requests of all services have waited only because of limits that
    /// servers announced, since the last call.
    pub fn take_limit_wait(&mut self) -> Duration {
        self.dispatcher.take_limit_wait()
    }

    /// Makes changed limits available to all gateways. Returns whether any have changed.
    pub fn publish_limits(&mut self, now: Instant) -> bool {
        self.limits.publish(now)
    }
}

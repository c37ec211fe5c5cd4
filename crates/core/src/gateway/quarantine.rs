//! How the hub handles requests under which servers crashed.

use crate::clock::Instant;
use crate::quarantine::Decision;
use crate::quarantine::Identity;
use crate::quarantine::List;
use crate::quarantine::Observation;
use crate::quarantine::Step;

use super::Hub;

/// # Quarantined requests
impl Hub {
    /// Applies the committed list of requests in quarantine.
    pub fn apply_quarantine(&mut self, list: &List, now: Instant) {
        self.tracker.apply_list(list, now);
        self.quarantine = list.clone();
    }

    /// Returns the quarantine steps that are to be committed now.
    pub fn propose_quarantine_steps(&mut self, now: Instant) -> Vec<Step> {
        self.tracker.propose_steps(now)
    }

    /// Applies what gateways report of requests under which servers crashed.
    pub(super) fn observe(&mut self, observations: &[Observation], now: Instant) {
        for observation in observations {
            if self.tracker.record(observation, now) {
                self.reject_unpermitted(&observation.identity, now);
            }
        }
    }

    /// Rejects queued requests with an identity under which another server has crashed, except
    /// those that still get a permit.
    fn reject_unpermitted(&mut self, identity: &Identity, now: Instant) {
        for ticket in self.dispatcher.unpermitted(identity) {
            let time_left = self.dispatcher.time_left(&ticket, now);
            match self.tracker.decide(identity, time_left, now) {
                Decision::Permitted(permit) => self.dispatcher.set_permit(&ticket, permit),
                Decision::Rejected(_) => {
                    self.cancel(&ticket, now);
                    self.rejected.push(ticket);
                }
                Decision::Allowed => {}
            }
        }
    }
}

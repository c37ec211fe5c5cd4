//! What the hub does about requests under which servers end.

use crate::clock::Instant;
use crate::quarantine::Decision;
use crate::quarantine::Identity;
use crate::quarantine::List;
use crate::quarantine::Observation;
use crate::quarantine::Step;

use super::Hub;

/// # Requests in quarantine
impl Hub {
    /// Takes up the requests in quarantine as they are agreed.
    pub fn apply_quarantine(&mut self, list: &List, now: Instant) {
        self.cases.apply_list(list, now);
        self.quarantine = list.clone();
    }

    /// What of them is to be agreed now.
    pub fn propose_quarantine_steps(&mut self, now: Instant) -> Vec<Step> {
        self.cases.propose_steps(now)
    }

    /// Takes note of what gateways tell of requests under which servers ended.
    pub(super) fn observe(&mut self, observed: &[Observation], now: Instant) {
        for observation in observed {
            if self.cases.record(observation, now) {
                self.reject_unpermitted(&observation.identity, now);
            }
        }
    }

    /// Takes those out of line that are a request under which one more server has ended, but for as many as
    /// may still go.
    fn reject_unpermitted(&mut self, identity: &Identity, now: Instant) {
        for ticket in self.dispatcher.unpermitted(identity) {
            let left = self.dispatcher.left(&ticket, now);
            match self.cases.decide(identity, left, now) {
                Decision::Permitted(permit) => self.dispatcher.permit(&ticket, permit),
                Decision::Rejected(_) => {
                    self.cancel(&ticket, now);
                    self.withheld.push(ticket);
                }
                Decision::Allowed => {}
            }
        }
    }
}

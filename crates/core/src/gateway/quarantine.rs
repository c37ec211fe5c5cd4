//! How the hub handles requests under which servers crashed.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::clock::Instant;
use crate::id;
use crate::quarantine::Decision;
use crate::quarantine::Effect;
use crate::quarantine::Features;
use crate::quarantine::List;
use crate::quarantine::Observation;
use crate::quarantine::Rejection;
use crate::quarantine::Step;

use super::Hub;
use super::ServerList;

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
                self.reject_unpermitted(&observation.features, now);
            }
            if let Effect::Crashed(server) | Effect::CrashedParts(server) = &observation.effect {
                let crashed_at = now - observation.age;
                for features in self.tracker.record_end(server, crashed_at, now) {
                    self.reject_unpermitted(&features, now);
                }
            }
        }
    }

    /// Records the loss of a gateway that was last heard of at `last_heard`: nobody else says under which of its requests
    /// servers crashed.
    pub(super) fn observe_lost(&mut self, host: &id::Host, last_heard: Instant, now: Instant) {
        for observation in self.dispatcher.in_flight_of(host, last_heard, now) {
            if self.tracker.record_lost(&observation, now) {
                self.reject_unpermitted(&observation.features, now);
            }
        }
    }

    /// Records the servers that are gone from `server_list`, which is about to be set, without having left by plan: they
    /// have crashed under the requests under which they had fallen silent. Those that are not on the hub's first list may
    /// have been gone before it.
    pub fn observe_gone(&mut self, server_list: &ServerList, now: Instant) {
        let remaining: BTreeSet<_> = server_list
            .servers
            .iter()
            .map(|server| &server.incarnation)
            .collect();
        let former = Arc::clone(&self.server_list);
        let mut affected = Vec::new();
        if former.version == 0 {
            let servers = remaining.iter().map(|server| Arc::clone(server));
            affected = self.tracker.record_first_list(servers.collect(), now);
        }
        let gone = former.servers.iter();
        let gone =
            gone.filter(|server| !server.leaving && !remaining.contains(&server.incarnation));
        for server in gone {
            affected.extend(self.tracker.record_gone(&server.incarnation, now));
        }
        for features in affected {
            self.reject_unpermitted(&features, now);
        }
    }

    /// Rejects queued requests that have features in common with one under which another server has
    /// crashed, except those that still get a permit.
    fn reject_unpermitted(&mut self, crashed: &Features, now: Instant) {
        for (ticket, features) in self.dispatcher.unpermitted(crashed) {
            let time_left = self.dispatcher.time_left(&ticket, now);
            let decision = self
                .tracker
                .decide(&features, ticket.service(), time_left, now);
            let rejection = match decision {
                Decision::Allowed => continue,
                Decision::Permitted(permit) => {
                    self.dispatcher.set_permit(&ticket, permit);
                    continue;
                }
                // It may be queued again for the versions that it may be sent to.
                Decision::AllowedAt(_) => Rejection::PartInTrial,
                Decision::Rejected(rejection) => rejection,
            };
            self.cancel(&ticket, now);
            self.rejected.push((ticket, rejection));
        }
    }
}

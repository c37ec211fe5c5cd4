//! A gateway's decision on whether a request may be sent when the hub does not answer.

use std::collections::VecDeque;

use crate::clock::Instant;

use super::CRASHES_TO_COMMIT;
use super::Effect;
use super::Evidence;
use super::Identity;
use super::List;
use super::Observation;
use super::Update;

/// How many completed requests a gateway remembers, at some 40 bytes each: those of some seconds, where the same
/// requests are retried again and again.
const MAX_COMPLETED: usize = 1_024;

/// What a gateway knows of requests under which servers crash: its own observations and the committed list.
#[derive(Clone, Debug, Default)]
pub struct LocalTracker {
    list: List,
    evidence: Evidence,
    /// Requests that got a complete response recently. A crash does not count against them: of a request that arrives
    /// many times a second, 12 gateways would otherwise report one running on each server that another request
    /// crashes, before any of them is answered.
    completed: VecDeque<Identity>,
}

impl LocalTracker {
    /// Returns whether a request may be sent without the hub's decision.
    ///
    /// Load pattern: a request crashes servers while no hub answers for seconds. A request that one more crash would
    /// put into quarantine waits for the hub. One that this gateway does not know of crashes at most one server here
    /// before the gateway knows of it, and one more after that.
    #[must_use]
    pub fn may_send(&self, identity: &Identity) -> bool {
        let mut crashed = self.evidence.crashed_servers(identity);
        if let Some(case) = self.list.get(identity) {
            crashed.extend(case.crashed_servers.iter().cloned());
        }
        crashed.len() < CRASHES_TO_COMMIT
    }

    /// Returns the version of the list stored here.
    #[must_use]
    pub fn get_version(&self) -> u64 {
        self.list.get_version()
    }

    /// Returns the gateway's own observations.
    #[must_use]
    pub fn get_evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Applies an update of the list.
    pub fn apply_update(&mut self, update: &Update) {
        self.list.apply_update(update);
    }

    /// Records that a server crashed under a request.
    pub fn record_crash(
        &mut self,
        identity: Identity,
        permit: Option<u64>,
        server: &str,
        now: Instant,
    ) {
        let effect = if self.completed.contains(&identity) {
            Effect::Completed
        } else {
            Effect::Crashed(server.into())
        };
        self.record(identity, permit, effect, now);
    }

    /// Records that a request got a complete response.
    pub fn record_completion(&mut self, identity: Identity, permit: Option<u64>, now: Instant) {
        let is_suspected = permit.is_some()
            || self.list.get(&identity).is_some()
            || !self.evidence.crashed_servers(&identity).is_empty();
        if is_suspected {
            self.record(identity.clone(), permit, Effect::Completed, now);
        }
        if self.completed.len() >= MAX_COMPLETED {
            self.completed.pop_front();
        }
        self.completed.push_back(identity);
    }

    /// Records that an attempt with a permit ended in neither a crash nor a complete response.
    pub fn record_inconclusive(&mut self, identity: Identity, permit: u64, now: Instant) {
        self.record(identity, Some(permit), Effect::Inconclusive, now);
    }

    fn record(&mut self, identity: Identity, permit: Option<u64>, effect: Effect, now: Instant) {
        let observation = Observation {
            identity,
            permit,
            effect,
        };
        self.evidence.record(observation, now);
    }

    /// Notes that the hub `hub_id` has acknowledged all observations up to `last_number`.
    pub fn acknowledge(&mut self, hub_id: u64, last_number: u64) {
        self.evidence.acknowledge(hub_id, last_number);
    }
}

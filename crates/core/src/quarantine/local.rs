//! What a gateway goes by when no hub gives it a word.

use std::collections::VecDeque;

use crate::clock::Instant;

use super::CRASHES_TO_COMMIT;
use super::Effect;
use super::Evidence;
use super::Identity;
use super::List;
use super::Observation;
use super::Update;

/// How many requests a gateway remembers that were answered whole, some 40 bytes each: those of some seconds,
/// where the same come again and again.
const ANSWERED: usize = 1_024;

/// What a gateway knows of requests under which servers end: what it saw, and what all agreed on.
#[derive(Clone, Debug, Default)]
pub struct LocalTracker {
    list: List,
    evidence: Evidence,
    /// What was answered whole lately. Of a request that comes many times a second, 12 gateways would else
    /// report one running beside each server that another request ends, before any of them is answered.
    answered: VecDeque<Identity>,
}

impl LocalTracker {
    /// Whether a request may be sent without the hub's word.
    ///
    /// Load: a request that ends servers, while no hub is heard for seconds. What one more end would put
    /// into quarantine waits for the hub; what this gateway does not know of ends one server here at the
    /// most before it does, and one more.
    #[must_use]
    pub fn may_send(&self, identity: &Identity) -> bool {
        let mut ended = self.evidence.crashed_servers(identity);
        if let Some(case) = self.list.get(identity) {
            ended.extend(case.crashed_servers.iter().cloned());
        }
        ended.len() < CRASHES_TO_COMMIT
    }

    /// The version of the list that it holds.
    #[must_use]
    pub fn get_version(&self) -> u64 {
        self.list.get_version()
    }

    /// What it saw.
    #[must_use]
    pub fn get_evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Takes up what is new of the list.
    pub fn apply_update(&mut self, news: &Update) {
        self.list.apply_update(news);
    }

    /// A server broke off under a request.
    pub fn record_crash(
        &mut self,
        identity: Identity,
        permit: Option<u64>,
        server: &str,
        now: Instant,
    ) {
        let seen = if self.answered.contains(&identity) {
            Effect::Completed
        } else {
            Effect::Crashed(server.into())
        };
        self.note(identity, permit, seen, now);
    }

    /// A request was answered whole.
    pub fn record_completion(&mut self, identity: Identity, permit: Option<u64>, now: Instant) {
        let is_suspected = permit.is_some()
            || self.list.get(&identity).is_some()
            || !self.evidence.crashed_servers(&identity).is_empty();
        if is_suspected {
            self.note(identity.clone(), permit, Effect::Completed, now);
        }
        if self.answered.len() >= ANSWERED {
            self.answered.pop_front();
        }
        self.answered.push_back(identity);
    }

    /// A sending by a permit has ended otherwise.
    pub fn record_inconclusive(&mut self, identity: Identity, permit: u64, now: Instant) {
        self.note(identity, Some(permit), Effect::Inconclusive, now);
    }

    fn note(&mut self, identity: Identity, permit: Option<u64>, seen: Effect, now: Instant) {
        let observation = Observation {
            identity,
            permit,
            effect: seen,
        };
        self.evidence.record(observation, now);
    }

    /// The hub `hub` has answered, and was told all up to the observation `upto`.
    pub fn acknowledge(&mut self, hub: u64, upto: u64) {
        self.evidence.acknowledge(hub, upto);
    }
}

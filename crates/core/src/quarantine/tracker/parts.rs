//! How the tracker handles parts of prompts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::clock::Instant;
use crate::quarantine::CRASHES_TO_COMMIT_PART;
use crate::quarantine::Effect;
use crate::quarantine::Features;
use crate::quarantine::List;
use crate::quarantine::Observation;
use crate::quarantine::Part;
use crate::quarantine::Step;
use crate::rollout::Version;

use super::Tracker;

/// # Parts of prompts
impl Tracker {
    /// Applies the parts on the committed list: takes over what was committed by others, such as earlier hubs and operators.
    pub(super) fn apply_parts(&mut self, list: &List, now: Instant) {
        let committed: BTreeMap<_, _> =
            list.parts().map(|case| (case.part, case.clone())).collect();
        for (part, case) in &committed {
            let is_own = self.proposed_parts.get(part) == Some(&Some(case.clone()));
            if !is_own && self.committed_parts.get(part) != Some(case) {
                self.accounts.merge(case, now);
            }
            self.accounts.set_committed_trials(*part, case.trials);
        }
        let released = self.committed_parts.keys();
        let released = released.filter(|part| !committed.contains_key(part));
        for part in released {
            if self.proposed_parts.get(part) != Some(&None) {
                self.accounts.close(*part);
            }
        }
        self.committed_parts = committed;
        self.proposed_parts.clear();
    }

    /// Records that a server is gone from the list without having left it by plan. Returns the features of requests under
    /// which it had fallen silent, if fewer of them may be sent than before.
    pub fn record_gone(&mut self, server: &Arc<str>, now: Instant) -> Vec<Features> {
        let silent = self.silences.record_gone(server, now).into_iter();
        let silent = silent.map(|observation| (Arc::clone(server), observation));
        let mut affected = self.record_crashes(silent.collect(), now);
        affected.extend(self.record_end(server, Instant::default(), now));
        affected
    }

    /// Records the incarnations on the hub's first server list: servers that fell silent before it and are not on it are
    /// gone. Returns the features of requests under which they had, if fewer of them may be sent than before.
    pub fn record_first_list(
        &mut self,
        servers: BTreeSet<Arc<str>>,
        now: Instant,
    ) -> Vec<Features> {
        let silent = self.silences.record_first_list(servers, now);
        self.record_crashes(silent, now)
    }

    /// Records the crashes of servers that had fallen silent; returns the features of requests of which fewer may be sent
    /// than before.
    fn record_crashes(
        &mut self,
        silent: Vec<(Arc<str>, Observation)>,
        now: Instant,
    ) -> Vec<Features> {
        let mut affected = Vec::new();
        for (server, observation) in silent {
            if self.record_crash_of(&server, &observation, now) {
                affected.push(observation.features);
            }
        }
        affected
    }

    /// Records that a server ended at `ended_at` or later. Returns the features of requests that lost gateways had there, if
    /// fewer of them may be sent than before.
    pub fn record_end(
        &mut self,
        server: &Arc<str>,
        ended_at: Instant,
        now: Instant,
    ) -> Vec<Features> {
        let mut affected = Vec::new();
        for observation in self.lost.record_end(server, ended_at, now) {
            if self.charge_parts(&observation, server, now) {
                affected.push(observation.features);
            }
        }
        affected
    }

    /// Records a request that a lost gateway had in flight: its parts are charged if the server has ended, or as soon as it
    /// is known to. Returns whether one of them is quarantined by that.
    pub fn record_lost(&mut self, observation: &Observation, now: Instant) -> bool {
        let Effect::Silent(server) = &observation.effect else {
            return false;
        };
        self.lost.record(server, observation, now) && self.charge_parts(observation, server, now)
    }

    /// Charges a crash to the parts of a request that may be the cause. Returns whether one of them is quarantined by that.
    pub(super) fn charge_parts(
        &mut self,
        observation: &Observation,
        server: &Arc<str>,
        now: Instant,
    ) -> bool {
        let charge = observation.to_charge(now);
        let Some(charge) = charge.filter(|_| !observation.features.parts.is_empty()) else {
            return false;
        };
        self.is_dirty = true;
        self.accounts
            .charge(&observation.features, server, &charge, now)
    }

    pub(super) fn record_answer(&mut self, observation: &Observation, now: Instant) {
        let (parts, began) = (&observation.features.parts, observation.began(now));
        self.is_dirty |= self.accounts.answer(parts, &observation.software, began);
    }

    /// Returns whether a quarantined part of prompts explains the crash of a server of `version`, so that it says nothing
    /// about the version.
    #[must_use]
    pub fn explains(&self, server: &str, version: &Version) -> bool {
        self.accounts.explains(server, version)
    }

    /// Returns how many servers are known to have crashed under requests with a part, as far as no later answer refutes
    /// it.
    #[must_use]
    pub fn part_crash_count(&self, part: Part) -> usize {
        self.accounts.crash_count(part)
    }

    /// The changes of parts on the list.
    pub(super) fn propose_parts(&mut self) -> Vec<Step> {
        let cases = self.accounts.to_cases(CRASHES_TO_COMMIT_PART);
        let released = self.committed_parts.keys();
        let released = released.filter(|part| !cases.contains_key(part));
        self.proposed_parts = released.map(|part| (*part, None)).collect();
        for (part, case) in cases {
            if self.committed_parts.get(&part) != Some(&case) {
                self.proposed_parts.insert(part, Some(case));
            }
        }
        // Released first, so that the list has room for the others.
        let released = self.proposed_parts.iter();
        let released = released.filter(|(_, case)| case.is_none());
        let released = released.map(|(part, _)| Step::ReleasePart(*part));
        let put = self.proposed_parts.values().flatten().cloned();
        released.chain(put.map(Step::PutPart)).collect()
    }
}

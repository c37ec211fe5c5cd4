//! The state of one active roll-out at the hub.
//!
//! Load pattern: a version may turn bad only after some seconds, or only under load. So a trial
//! lasts as long as possible while leaving the requests that run on the former version enough time
//! to finish. As every bad response hits a caller, the target gets no more requests than the trial
//! needs; it never gets more than its limit, whatever the load.

use std::sync::Arc;
use std::time::Duration;

use super::Baseline;
use super::Evidence;
use super::Exposure;
use super::Judge;
use super::Phase;
use super::Sample;

/// The fraction of a roll-out's duration after which a trusted version gets all new requests;
/// requests that run on the former version have the rest to finish.
///
/// At 0.6 a tenth of the versions that turn slow after a third of the duration passed the trial, at
/// 0.7 none did.
const MIN_TRIAL_FRACTION: f64 = 0.7;

/// The fraction of a roll-out's duration after which the target needs only as many slots as
/// requests are in flight, instead of [`MIN_CAPACITY_RATIO`].
const RELAXED_CAPACITY_FRACTION: f64 = 0.85;

/// A roll-out whose target isn't trusted after so many times its duration is rolled back.
///
/// The time beyond the duration allows for a change of the leader: the new one doesn't know the
/// responses that the former one saw.
const MAX_DURATION_FACTOR: f64 = 2.0;

/// The minimum ratio of the target's slots to those of the former version for the target to get all
/// requests.
const MIN_CAPACITY_RATIO: f64 = 0.8;

/// The limits on the requests to a version that is not trusted yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The share (0 to 1) of a service's requests that it may get.
    pub share: f64,
    /// The number of requests that it may get in addition.
    pub extra_requests: f64,
}

/// The state of the service around a trial.
#[derive(Clone, Copy, Debug, Default)]
pub struct Conditions {
    /// The time since the order.
    pub age: Duration,
    /// The slots of the target's servers that accept new requests.
    pub target_slots: u32,
    /// The number of these servers.
    pub target_servers: usize,
    /// The slots of the former versions' servers that accept new requests.
    pub former_slots: u32,
    /// The number of requests that run on servers of the service, of any version.
    pub in_flight: u32,
    /// The number of requests that run on servers of the former versions.
    pub in_flight_at_former: u32,
    /// Whether the hub knows that every gateway has applied the current policy, so that none sends
    /// requests to the former versions by a local decision any more.
    pub is_policy_applied: bool,
}

/// One active roll-out.
#[derive(Clone, Debug)]
pub struct Trial {
    /// The time within which the roll-out is to be completed.
    duration: Duration,
    phase: Phase,
    exposure: Exposure,
    baseline: Baseline,
    judge: Judge,
}

impl Trial {
    /// Creates a roll-out in `phase` that is to be completed within `duration`.
    ///
    /// Only where `is_ordered_here`, that is under the hub that accepted the order, the target may
    /// get the extra requests of `bounds`: so they are granted once, also when hubs change.
    #[must_use]
    pub fn new(duration: Duration, phase: Phase, bounds: Bounds, is_ordered_here: bool) -> Self {
        let extra_requests = if is_ordered_here {
            bounds.extra_requests
        } else {
            0.0
        };
        Self {
            duration,
            phase,
            exposure: Exposure::new(bounds.share, extra_requests),
            baseline: Baseline::default(),
            judge: Judge::default(),
        }
    }

    /// Sets the phase that was committed.
    pub fn set_phase(&mut self, phase: Phase) {
        self.phase = phase;
    }

    /// Records a response of a former version.
    pub fn record_former(&mut self, sample: &Sample) {
        if self.baseline.record(sample) {
            self.exposure.earn();
        }
    }

    /// Records a response of the target, which has `server_count` servers.
    pub fn record_target(&mut self, sample: &Sample, server_count: usize) {
        // Once all new requests go to the target, there is no baseline for how slow the load alone
        // makes responses: on busy hosts good versions were rolled back for being slow.
        let latency_counts = self.phase == Phase::Trial;
        self.judge
            .record(sample, &self.baseline, server_count, latency_counts);
    }

    /// The number of requests that the target may get now; `None` if there is no limit any more.
    #[must_use]
    pub fn credit(&self) -> Option<u32> {
        match self.phase {
            Phase::Trial if self.judge.evidence_against().is_none() => {
                Some(self.exposure.available())
            }
            Phase::Moving => None,
            _ => Some(0),
        }
    }

    /// The busy rules under which the target is not trusted yet.
    #[must_use]
    pub fn untrusted_rules(&self) -> Vec<Arc<str>> {
        self.judge.untrusted_rules(self.baseline.busy_rules())
    }

    /// Spends the credit for a request that is granted a slot of the target.
    pub fn spend(&mut self) {
        if self.phase == Phase::Trial {
            self.exposure.try_spend();
        }
    }

    /// The phase that the roll-out is to advance to, with the reason; `None` if it stays in its
    /// phase.
    #[must_use]
    pub fn next_phase(&self, conditions: &Conditions) -> Option<(Phase, String)> {
        if let Some(evidence) = self.judge.evidence_against() {
            return Some((Phase::RolledBack, evidence.to_string()));
        }
        match self.phase {
            Phase::Trial => self.phase_after_trial(conditions),
            Phase::Moving => self.phase_after_moving(conditions),
            Phase::Completed | Phase::RolledBack => None,
        }
    }

    /// The evidence on which the target is to be rejected, if there is enough.
    #[must_use]
    pub fn evidence_against(&self) -> Option<Evidence> {
        self.judge.evidence_against()
    }

    /// Ends the trial: all requests move to a trusted target, and a target that isn't trusted in
    /// time is rolled back.
    fn phase_after_trial(&self, conditions: &Conditions) -> Option<(Phase, String)> {
        let responses = self.judge.response_count();
        let slots = conditions.target_slots;
        if conditions.age < self.duration.mul_f64(MAX_DURATION_FACTOR) {
            let why = format!("answers={responses} slots={slots}");
            return self.may_move(conditions).then_some((Phase::Moving, why));
        }
        let why = format!("not trusted within its time: answers={responses} slots={slots}");
        Some((Phase::RolledBack, why))
    }

    /// Whether the target may get all new requests.
    fn may_move(&self, conditions: &Conditions) -> bool {
        let is_past = |fraction: f64| conditions.age >= self.duration.mul_f64(fraction);
        let (slots, former_slots) = (conditions.target_slots, conditions.former_slots);
        let has_capacity = if is_past(RELAXED_CAPACITY_FRACTION) {
            slots >= conditions.in_flight.max(1)
        } else {
            slots > 0 && f64::from(slots) >= f64::from(former_slots) * MIN_CAPACITY_RATIO
        };
        let has_baseline = self.baseline.busy_rules().next().is_some();
        let is_trusted =
            has_baseline && self.judge.is_trusted() && self.untrusted_rules().is_empty();
        is_past(MIN_TRIAL_FRACTION) && has_capacity && is_trusted
    }

    /// Completes the roll-out only when nothing can run on the former version any more: its servers
    /// may be stopped right after, which would break off what still runs there.
    fn phase_after_moving(&self, conditions: &Conditions) -> Option<(Phase, String)> {
        let is_clear = conditions.in_flight_at_former == 0
            && conditions.is_policy_applied
            && conditions.target_servers > 0;
        let why = format!("answers={}", self.judge.response_count());
        is_clear.then_some((Phase::Completed, why))
    }
}

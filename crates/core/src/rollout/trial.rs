//! One roll-out under way, as the hub sees it.
//!
//! Load pattern: a version may be bad only after some seconds, or only under load, so a trial lasts as long as
//! what runs at the former version lets it; and whoever gets a bad answer is a caller, so no more go there than
//! it takes. Beyond the bound nothing goes there, whatever the load.

use std::sync::Arc;
use std::time::Duration;

use super::Baseline;
use super::Evidence;
use super::Exposure;
use super::Judge;
use super::Phase;
use super::Sample;

/// The part of a roll-out's time after which a version that is trusted gets all new requests: what runs at the
/// former one has the rest to end in. At 0.6 a tenth of the versions that turn slow at a third of the time came
/// through, at 0.7 none (example `rollouts`, 40 seeds, no trouble).
const TRIED: f64 = 0.7;

/// The part after which less room is enough.
const PRESSED: f64 = 0.85;

/// How many times its time a roll-out may last without being trusted: where leaders changed, what the one before
/// saw is not known to the next.
const GIVEN_UP: f64 = 2.0;

/// The part of the former version's slots that the target must have to be given all requests.
const ROOM: f64 = 0.8;

/// What is borne of a version that is not trusted yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The part (0 to 1) of a service's requests that it may get.
    pub share: f64,
    /// The requests that it may get on top of that.
    pub extra_requests: f64,
}

/// What there is around a trial at a moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Conditions {
    /// The time since the order.
    pub age: Duration,
    /// Slots of the servers of the target that take new work.
    pub target_slots: u32,
    /// The number of these servers.
    pub target_servers: usize,
    /// Slots of the servers of the former versions that take new work.
    pub former_slots: u32,
    /// Requests that run at the service, of whatever version.
    pub in_flight: u32,
    /// Requests that run at the former versions.
    pub in_flight_at_former: u32,
    /// Whether every gateway that may still send there by its own choice is heard and knows better.
    pub is_policy_applied: bool,
}

/// One roll-out under way.
#[derive(Clone, Debug)]
pub struct Trial {
    /// Within what time it is to come to its end.
    length: Duration,
    phase: Phase,
    exposure: Exposure,
    baseline: Baseline,
    judge: Judge,
}

impl Trial {
    /// A roll-out with `length` to come to its end; `is_own` where the order was taken under this hub.
    #[must_use]
    pub fn new(length: Duration, phase: Phase, bounds: Bounds, is_own: bool) -> Self {
        let on_top = if is_own { bounds.extra_requests } else { 0.0 };
        Self {
            length,
            phase,
            exposure: Exposure::new(bounds.share, on_top),
            baseline: Baseline::default(),
            judge: Judge::default(),
        }
    }

    /// The roll-out has come to `phase`.
    pub fn set_phase(&mut self, phase: Phase) {
        self.phase = phase;
    }

    /// Takes up an answer of a former version.
    pub fn record_former(&mut self, sample: &Sample) {
        if self.baseline.record(sample) {
            self.exposure.earn();
        }
    }

    /// Takes up an answer of the target, which has so many `servers`.
    pub fn record_target(&mut self, sample: &Sample, servers: usize) {
        // Once all new requests go there, nothing tells any more how slow the load alone makes answers: beside
        // busy hosts good versions were rolled back for it.
        let times_count = self.phase == Phase::Trial;
        self.judge
            .record(sample, &self.baseline, servers, times_count);
    }

    /// How many requests the target may get now; none where it has no bound any more.
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

    /// The rules that are often asked and under which the target is not trusted yet.
    #[must_use]
    pub fn untrusted_rules(&self) -> Vec<Arc<str>> {
        self.judge.untrusted_rules(self.baseline.busy_rules())
    }

    /// A request is given a place at the target.
    pub fn spend(&mut self) {
        if self.phase == Phase::Trial {
            self.exposure.try_spend();
        }
    }

    /// The phase that is to follow, and why, where one is.
    #[must_use]
    pub fn next_phase(&self, conditions: &Conditions) -> Option<(Phase, String)> {
        if let Some(evidence) = self.judge.evidence_against() {
            return Some((Phase::RolledBack, evidence.to_string()));
        }
        match self.phase {
            Phase::Trial => self.after_trial(conditions),
            Phase::Moving => self.after_moving(conditions),
            Phase::Completed | Phase::RolledBack => None,
        }
    }

    /// What speaks surely against the target.
    #[must_use]
    pub fn evidence_against(&self) -> Option<Evidence> {
        self.judge.evidence_against()
    }

    fn after_trial(&self, conditions: &Conditions) -> Option<(Phase, String)> {
        let answers = self.judge.response_count();
        let slots = conditions.target_slots;
        if conditions.age < self.length.mul_f64(GIVEN_UP) {
            let why = format!("answers={answers} slots={slots}");
            return self.is_trusted(conditions).then_some((Phase::Moving, why));
        }
        let why = format!("not trusted within its time: answers={answers} slots={slots}");
        Some((Phase::RolledBack, why))
    }

    /// Whether the target is to get all new requests.
    fn is_trusted(&self, conditions: &Conditions) -> bool {
        let is_past = |part: f64| conditions.age >= self.length.mul_f64(part);
        let (slots, former) = (conditions.target_slots, conditions.former_slots);
        let has_room = if is_past(PRESSED) {
            slots >= conditions.in_flight.max(1)
        } else {
            slots > 0 && f64::from(slots) >= f64::from(former) * ROOM
        };
        let is_compared = self.baseline.busy_rules().next().is_some();
        let is_trusted =
            is_compared && self.judge.is_trusted() && self.untrusted_rules().is_empty();
        is_past(TRIED) && has_room && is_trusted
    }

    /// Whoever stops the former version once the roll-out is completed cuts off what still runs there.
    fn after_moving(&self, conditions: &Conditions) -> Option<(Phase, String)> {
        let is_clear = conditions.in_flight_at_former == 0
            && conditions.is_policy_applied
            && conditions.target_servers > 0;
        let why = format!("answers={}", self.judge.response_count());
        is_clear.then_some((Phase::Completed, why))
    }
}

//! A gateway's decision on whether a request may be sent when the hub does not answer.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;

use super::CRASHES_TO_COMMIT;
use super::CRASHES_TO_QUARANTINE_PART;
use super::CRASHES_TO_WITHHOLD_PART;
use super::Effect;
use super::Evidence;
use super::Features;
use super::Identity;
use super::List;
use super::Observation;
use super::Part;
use super::Rejection;
use super::Software;
use super::Step;
use super::Update;
use super::accounts::Accounts;
use super::answers::Answers;

/// How many completed requests a gateway remembers, at some 40 bytes each: those of some seconds, where the same
/// requests are retried again and again.
const MAX_COMPLETED: usize = 1_024;

/// An attempt, as its gateway saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// What the request is, and what it has in common with others.
    pub features: Features,
    /// The software of the server.
    pub software: Software,
    /// The number of the permit that the request was sent with; `None` if it needed none.
    pub permit: Option<u64>,
    /// For how long the response's body has been arriving; `None` if it has not begun.
    pub answered_for: Option<Duration>,
}

impl Attempt {
    fn observe(self, effect: Effect) -> Observation {
        Observation {
            features: self.features,
            software: self.software,
            permit: self.permit,
            answered_for: self.answered_for,
            age: Duration::ZERO,
            effect,
        }
    }
}

/// What a gateway knows of requests under which servers crash: its own observations and the committed list.
#[derive(Clone, Debug, Default)]
pub struct LocalTracker {
    list: List,
    evidence: Evidence,
    /// Requests that got a complete response recently. A crash does not count against them: of a request that arrives
    /// many times a second, 12 gateways would otherwise report one running on each server that another request
    /// crashes, before any of them is answered.
    completed: VecDeque<Identity>,
    /// The parts of requests under which servers crashed here, or that are on the list.
    accounts: Accounts,
    answers: Answers,
}

impl LocalTracker {
    /// Decides whether a request may be sent without the hub's decision.
    ///
    /// Load pattern: a request crashes servers while no hub answers for seconds, or requests with one part do. What one
    /// more crash would put into quarantine waits for the hub. A request or part that this gateway does not know of
    /// crashes at most one server here before the gateway knows of it, and one more after that.
    ///
    /// # Errors
    ///
    /// Returns why it may not be sent.
    pub fn may_send(&self, features: &Features) -> Result<(), Rejection> {
        let identity = &features.identity;
        let mut crashed = self.evidence.crashed_servers(identity);
        if let Some(case) = self.list.get(identity) {
            crashed.extend(case.crashed_servers.iter().cloned());
        }
        if crashed.len() >= CRASHES_TO_COMMIT {
            return Err(Rejection::Quarantined);
        }
        let counts = features.parts.iter();
        let counts = counts.map(|part| self.accounts.crash_count(*part));
        match counts.max().unwrap_or(0) {
            CRASHES_TO_QUARANTINE_PART.. => Err(Rejection::PartQuarantined),
            // It may be sound, and the hub soon knows.
            CRASHES_TO_WITHHOLD_PART.. => Err(Rejection::PartInTrial),
            _ => Ok(()),
        }
    }

    /// Returns whether the list withholds a request from servers with this software.
    #[must_use]
    pub fn withholds(&self, features: &Features, software: &Software) -> bool {
        let mut cases = features
            .parts
            .iter()
            .filter_map(|part| self.list.get_part(*part));
        cases.any(|case| case.withholds(software))
    }

    /// Returns the parts of a request that are in quarantine by the list.
    #[must_use]
    pub fn quarantined_parts(&self, features: &Features) -> Vec<Part> {
        let cases = features.parts.iter();
        let cases = cases.filter_map(|part| self.list.get_part(*part));
        let quarantined = cases.filter(|case| case.is_quarantined());
        quarantined.map(|case| case.part).collect()
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

    /// Applies an update of the list, and reports when requests with its parts were answered here. Returns whether there
    /// is something to report.
    pub fn apply_update(&mut self, update: &Update, now: Instant) -> bool {
        let is_whole = update.base_version.is_none();
        if is_whole {
            self.accounts = Accounts::default();
        }
        self.list.apply_update(update);
        let last_number = self.evidence.get_last_number();
        for step in &update.steps {
            match step {
                Step::PutPart(case) => {
                    self.accounts.close(case.part);
                    self.accounts.merge(case, now);
                    self.report_answers(case.part, now);
                }
                Step::ReleasePart(part) => self.accounts.close(*part),
                Step::Put(_) | Step::Release(_) => {}
            }
        }
        self.evidence.get_last_number() > last_number
    }

    /// Reports when requests with a part were last answered here.
    fn report_answers(&mut self, part: Part, now: Instant) {
        for (software, began) in self.answers.get(part) {
            let attempt = Attempt {
                features: Features {
                    identity: Identity::default(),
                    parts: Arc::from([part]),
                },
                software: software.clone(),
                permit: None,
                answered_for: Some(now.since(began)),
            };
            let observation = attempt.observe(Effect::Answered);
            self.evidence.record(observation, now);
        }
    }

    /// Records that a server crashed under a request.
    pub fn record_crash(&mut self, attempt: Attempt, server: &Arc<str>, now: Instant) {
        let was_completed = self.completed.contains(&attempt.features.identity);
        let effect = if was_completed {
            Effect::CrashedParts(Arc::clone(server))
        } else {
            Effect::Crashed(Arc::clone(server))
        };
        let observation = attempt.observe(effect);
        if let Some(charge) = observation.to_charge(now) {
            self.accounts
                .charge(&observation.features, server, &charge, now);
        }
        self.evidence.record(observation, now);
    }

    /// Records that a request got a complete response.
    pub fn record_completion(&mut self, attempt: Attempt, is_success: bool, now: Instant) {
        let identity = attempt.features.identity.clone();
        if is_success {
            self.note_answer(&attempt, now);
        }
        let is_suspected = attempt.permit.is_some()
            || self.list.get(&identity).is_some()
            || !self.evidence.crashed_servers(&identity).is_empty()
            || is_success && self.is_watched(&attempt.features.parts);
        if is_suspected {
            let effect = if is_success {
                Effect::Completed
            } else {
                Effect::Failed
            };
            self.evidence.record(attempt.observe(effect), now);
        }
        if self.completed.len() >= MAX_COMPLETED {
            self.completed.pop_front();
        }
        self.completed.push_back(identity);
    }

    /// Records that the response to a request has been arriving for [`PROBATION`](super::PROBATION); returns whether there is something to
    /// report.
    pub fn record_answer(&mut self, attempt: Attempt, now: Instant) -> bool {
        self.note_answer(&attempt, now);
        let is_watched = self.is_watched(&attempt.features.parts);
        if is_watched {
            let attempt = Attempt {
                permit: None,
                ..attempt
            };
            self.evidence.record(attempt.observe(Effect::Answered), now);
        }
        is_watched
    }

    fn note_answer(&mut self, attempt: &Attempt, now: Instant) {
        let began = now - attempt.answered_for.unwrap_or_default();
        let Attempt {
            features, software, ..
        } = attempt;
        let customer = features.identity.customer.as_ref();
        self.answers
            .record(customer, &features.parts, software, began);
        self.accounts.answer(&features.parts, software, began);
    }

    /// Whether one of the parts is on the list.
    fn is_watched(&self, parts: &[Part]) -> bool {
        let mut parts = parts.iter();
        parts.any(|part| self.list.get_part(*part).is_some())
    }

    /// Records that a server sent nothing for long, and the attempt ended.
    pub fn record_silence(&mut self, attempt: Attempt, server: &Arc<str>, now: Instant) {
        let silent = Effect::Silent(Arc::clone(server));
        self.evidence.record(attempt.observe(silent), now);
    }

    /// Records that an attempt with a permit ended in neither a crash nor a complete response.
    pub fn record_inconclusive(&mut self, attempt: Attempt, now: Instant) {
        self.evidence
            .record(attempt.observe(Effect::Inconclusive), now);
    }

    /// Records that a request with a permit was not sent.
    pub fn record_not_sent(&mut self, attempt: Attempt, now: Instant) {
        self.evidence.record(attempt.observe(Effect::NotSent), now);
    }

    /// Notes that the hub `hub_id` has acknowledged all observations up to `last_number`.
    pub fn acknowledge(&mut self, hub_id: u64, last_number: u64) {
        self.evidence.acknowledge(hub_id, last_number);
    }
}

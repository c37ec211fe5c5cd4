//! What is known of one part of prompts under which servers crashed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;

use super::Part;
use super::PartCase;
use super::Software;

/// How many servers must have crashed under requests with a part, none of which a later answer refutes, before the part
/// is quarantined.
pub const CRASHES_TO_QUARANTINE_PART: usize = 5;

/// How many requests with a quarantined part are sent as trials, until one of them is answered or an operator releases
/// the part.
pub const MAX_TRIALS: u32 = 3;

/// How many of the trials may begin before [`FIRST_TRIAL_DELAY`], where it is likely that the part is sound.
const MAX_EARLY_TRIALS: u32 = 2;

/// How long after a crash an early trial may begin: other requests that crash servers are no longer in flight, which would
/// be mistaken for the trial.
const QUIET_TIME: Duration = Duration::from_millis(300);

/// The same for a part whose crashes no other part explains, but which was answered before.
const LONG_QUIET_TIME: Duration = Duration::from_secs(1);

/// Crashes within this time are likely to have a cause of their own, such as the loss of a data hall.
const SIMULTANEOUS_TIME: Duration = Duration::from_millis(100);

/// How long after the last crash or trial a trial may begin where nothing says that the part is sound.
pub const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(30);

/// The factor by which the delay grows with each trial.
const TRIAL_DELAY_FACTOR: u32 = 10;

/// How long a part that is not quarantined is remembered after the last crash.
const SUSPECT_RETENTION: Duration = Duration::from_mins(10);

/// How long a quarantined part is remembered after the last crash, trial or request.
const QUARANTINE_RETENTION: Duration = Duration::from_hours(24);

/// The crash of a server that a request with the part may have caused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Charge {
    /// The server's software.
    pub(super) software: Software,
    /// When the server began to answer the request, or crashed if it had not begun. An answer that began later refutes
    /// the charge.
    pub(super) began: Instant,
    /// When the crash became known; none if another hub counted it.
    pub(super) crashed: Option<Instant>,
}

/// What is known of one part of prompts under which servers crashed.
#[derive(Clone, Debug)]
pub(super) struct Account {
    /// The customer whose request was charged first.
    pub(super) owner: Option<id::Customer>,
    /// Whether requests of several customers were charged.
    pub(super) is_shared: bool,
    /// The crashes that no answer refutes, by the incarnation of the server.
    pub(super) charges: BTreeMap<Arc<str>, Charge>,
    /// When the last request with the part began to be answered, by the software that answered it.
    answered: BTreeMap<Software, Instant>,
    /// How many trials were begun.
    trials: u32,
    /// How many trials the log allows.
    committed_trials: u32,
    /// Whether a trial could begin if the log allowed it.
    pub(super) wants_trial: bool,
    /// The number of the permit in use, and when it expires.
    permit: Option<(u64, Instant)>,
    pub(super) last_crash: Instant,
    last_trial: Instant,
    pub(super) last_requested: Instant,
}

impl Account {
    pub(super) fn new(owner: Option<id::Customer>, now: Instant) -> Self {
        Self {
            owner,
            is_shared: false,
            charges: BTreeMap::new(),
            answered: BTreeMap::new(),
            trials: 0,
            committed_trials: 0,
            wants_trial: false,
            permit: None,
            last_crash: now,
            last_trial: Instant::default(),
            last_requested: now,
        }
    }

    /// Charges a crash, unless a later answer refutes it.
    pub(super) fn charge(
        &mut self,
        server: &Arc<str>,
        charge: Charge,
        customer: Option<&id::Customer>,
        now: Instant,
    ) {
        let answered = self.answered.get(&charge.software);
        if answered.is_some_and(|answered| *answered > charge.began) {
            return;
        }
        self.is_shared |= self.owner.as_ref() != customer;
        self.last_crash = now;
        if let Some(known) = self.charges.get_mut(server) {
            // The request that began last is the one that may have crashed the server.
            known.began = known.began.max(charge.began);
        } else {
            self.charges.insert(Arc::clone(server), charge);
        }
    }

    /// Records that `software` began to answer a request with the part at `began`, and did not crash.
    pub(super) fn answer(&mut self, software: &Software, began: Instant) {
        let answered = self.answered.entry(software.clone()).or_insert(began);
        *answered = began.max(*answered);
        let is_refuted = |charge: &Charge| charge.software == *software && charge.began < *answered;
        self.charges.retain(|_, charge| !is_refuted(charge));
    }

    pub(super) fn is_quarantined(&self) -> bool {
        self.charges.len() >= CRASHES_TO_QUARANTINE_PART
    }

    /// The software that has answered requests with the part since it began to crash servers.
    pub(super) fn sound_software(&self) -> BTreeSet<Software> {
        let first_charge = self.charges.values().map(|charge| charge.began).min();
        let is_sound = |answered: Instant| first_charge.is_some_and(|first| answered > first);
        let is_charged =
            |software: &Software| self.charges.values().any(|it| it.software == *software);
        let answered = self.answered.iter();
        let sound = answered.filter(|(software, at)| is_sound(**at) && !is_charged(software));
        sound.map(|(software, _)| software.clone()).collect()
    }

    /// Whether three in four of the servers that crashed under this part also crashed under the other one.
    pub(super) fn is_explained_by(&self, other: &Self) -> bool {
        let is_common = |server: &&Arc<str>| other.charges.contains_key(*server);
        let common = self.charges.keys().filter(is_common).count();
        common * 4 >= self.charges.len() * 3
    }

    /// Whether a trial with a request of `customer` may begin at some time soon. `has_other_cause` tells whether a part that
    /// the request does not have explains the crashes.
    pub(super) fn is_worth_trial(
        &self,
        customer: Option<&id::Customer>,
        has_other_cause: bool,
        now: Instant,
    ) -> bool {
        if self.trials >= MAX_TRIALS {
            return false;
        }
        // Another customer may have named the part in requests that crash servers for other reasons.
        let is_accused_by_other = !self.is_shared && self.owner.as_ref() != customer;
        let is_likely_sound = has_other_cause
            || is_accused_by_other
            || !self.answered.is_empty()
            || self.is_simultaneous();
        let is_early = is_likely_sound && self.trials < MAX_EARLY_TRIALS;
        is_early || self.is_delay_over(now)
    }

    /// Whether all crashes became known at almost the same time.
    fn is_simultaneous(&self) -> bool {
        let crashed: Option<Vec<_>> = self.charges.values().map(|it| it.crashed).collect();
        let crashed = crashed.unwrap_or_default();
        let bounds = crashed.iter().max().zip(crashed.iter().min());
        bounds.is_some_and(|(last, first)| last.since(*first) < SIMULTANEOUS_TIME)
    }

    fn is_delay_over(&self, now: Instant) -> bool {
        let delay = FIRST_TRIAL_DELAY * TRIAL_DELAY_FACTOR.pow(self.trials);
        now.since(self.last_crash.max(self.last_trial)) >= delay
    }

    /// Whether a trial may begin now, as far as time and the trial in progress are concerned.
    pub(super) fn is_ready_for_trial(&mut self, has_other_cause: bool, now: Instant) -> bool {
        self.permit = self.permit.filter(|(_, expires)| now < *expires);
        let quiet_time = if has_other_cause {
            QUIET_TIME
        } else {
            LONG_QUIET_TIME
        };
        self.permit.is_none() && now.since(self.last_crash) >= quiet_time
    }

    /// Whether the log allows one more trial than were begun. It does so before the trial begins, so that no trial is
    /// forgotten.
    pub(super) fn is_trial_committed(&self) -> bool {
        self.committed_trials > self.trials
    }

    /// Begins a trial with the permit `number`.
    pub(super) fn begin_trial(&mut self, number: u64, expires: Instant, now: Instant) {
        self.trials += 1;
        self.wants_trial = false;
        self.permit = Some((number, expires));
        self.last_trial = now;
    }

    /// Ends the trial with the permit `number`.
    pub(super) fn end_trial(&mut self, number: u64) -> bool {
        let is_own = self.permit.is_some_and(|(own, _)| own == number);
        if is_own {
            self.permit = None;
        }
        is_own
    }

    /// Takes back a trial whose request was not sent.
    pub(super) fn return_trial(&mut self, number: u64) {
        if self.end_trial(number) {
            self.trials = self.trials.saturating_sub(1);
        }
    }

    /// The case to commit to the log.
    pub(super) fn to_case(&self, part: Part) -> PartCase {
        let crashed = self.charges.iter();
        let wanted = self.trials + u32::from(self.wants_trial);
        PartCase {
            part,
            owner: self.owner.clone(),
            is_shared: self.is_shared,
            crashed_servers: crashed
                .map(|(server, charge)| (Arc::clone(server), charge.software.clone()))
                .collect(),
            sound_software: self.sound_software(),
            trials: wanted.max(self.committed_trials).min(MAX_TRIALS),
        }
    }

    /// Notes how many trials the log allows.
    pub(super) fn set_committed_trials(&mut self, trials: u32) {
        self.committed_trials = trials;
    }

    /// Adds what another hub has committed. Its trials count as begun.
    pub(super) fn merge(&mut self, case: &PartCase, now: Instant) {
        for (server, software) in &case.crashed_servers {
            let charge = Charge {
                software: software.clone(),
                began: now,
                crashed: None,
            };
            self.charges.entry(Arc::clone(server)).or_insert(charge);
        }
        self.is_shared |= case.is_shared || self.owner != case.owner;
        self.trials = self.trials.max(case.trials);
        self.committed_trials = self.committed_trials.max(case.trials);
        let after_charges = now + Duration::from_micros(1);
        for software in &case.sound_software {
            self.answered.insert(software.clone(), after_charges);
        }
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let last_event = self.last_crash.max(self.last_trial);
        if self.is_quarantined() {
            now.since(last_event.max(self.last_requested)) >= QUARANTINE_RETENTION
        } else {
            now.since(last_event) >= SUSPECT_RETENTION
        }
    }
}

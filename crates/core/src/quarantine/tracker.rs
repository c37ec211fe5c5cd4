//! The hub's decision on whether a request may be sent to a server.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;
use crate::id;
use crate::rollout::Version;

use super::CRASHES_TO_COMMIT;
use super::CRASHES_TO_QUARANTINE;
use super::Case;
use super::Effect;
use super::Features;
use super::Identity;
use super::List;
use super::Observation;
use super::Part;
use super::PartCase;
use super::Step;
use super::accounts::Accounts;
use super::accounts::Verdict;
use super::list::MAX_CASES;
use super::list::MAX_CASES_PER_CUSTOMER;
use super::silence::Silences;

mod parts;

/// How long after the last crash a quarantined request may be tried once. Its service may have been fixed, or the
/// three servers may have crashed for other reasons.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(30);

/// The factor by which the delay grows with each trial. A request that goes on crashing servers crashes six in the
/// first hour, and three a day after that.
const TRIAL_DELAY_FACTOR: u32 = 10;

/// After how many trials the delay no longer grows.
const MAX_TRIAL_DELAY_STEPS: usize = 3;

/// How long a request that is not quarantined is remembered after its last crash. Callers that retry by themselves do
/// so within seconds.
const SUSPECT_RETENTION: Duration = Duration::from_mins(10);

/// How long a quarantined request is remembered after its last crash, trial or retry.
const QUARANTINE_RETENTION: Duration = Duration::from_hours(24);

/// How long a proposed change may take to be committed before it is proposed again.
const REPROPOSE_INTERVAL: Duration = Duration::from_secs(1);

/// How often cases are scanned for expired ones.
const EXPIRY_SCAN_INTERVAL: Duration = Duration::from_secs(1);

/// Permission to send a request once, released when that attempt has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// What the request is, and what it has in common with others.
    pub features: Features,
    /// Distinguishes permits, those of other hubs included.
    pub number: u64,
}

/// Why a request may not be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// Too many servers have crashed under it.
    Quarantined,
    /// Servers have crashed under it, and it is already being sent elsewhere.
    InFlight,
    /// Too many servers have crashed under requests with a part of its prompt.
    PartQuarantined,
    /// The same, and another request is about to show whether the part is sound.
    PartInTrial,
}

/// Whether a request may be sent to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may: no server is known to have crashed under it.
    Allowed,
    /// It may be sent to servers of these versions, which answer requests with its parts. Those of others crashed.
    AllowedAt(Arc<[Version]>),
    /// It may be sent once, with this permit.
    Permitted(Permit),
    /// It may not.
    Rejected(Rejection),
}

/// What is known about a request under which servers crashed.
#[derive(Clone, Debug)]
struct OpenCase {
    crashed_servers: BTreeSet<Arc<str>>,
    /// How many of the crashes are committed to the log.
    committed_crashes: usize,
    /// The numbers of the permits in use, and when each expires.
    permits: BTreeMap<u64, Instant>,
    /// When the last server crashed or the last trial began.
    last_crash_or_trial: Instant,
    /// When a decision was last requested.
    last_requested: Instant,
}

impl OpenCase {
    fn new(now: Instant) -> Self {
        Self {
            crashed_servers: BTreeSet::new(),
            committed_crashes: 0,
            permits: BTreeMap::new(),
            last_crash_or_trial: now,
            last_requested: now,
        }
    }

    fn is_quarantined(&self) -> bool {
        self.crashed_servers.len() >= CRASHES_TO_QUARANTINE
    }

    /// How long after the last crash or trial the next trial may begin.
    fn trial_delay(&self) -> Duration {
        let trials = self
            .crashed_servers
            .len()
            .saturating_sub(CRASHES_TO_QUARANTINE)
            .min(MAX_TRIAL_DELAY_STEPS);
        let trials = u32::try_from(trials).unwrap_or(0);
        FIRST_TRIAL_DELAY * TRIAL_DELAY_FACTOR.pow(trials)
    }

    /// Checks whether the request may be sent now; if it is quarantined, that begins a trial.
    fn begin_attempt(&mut self, now: Instant) -> Result<(), Rejection> {
        self.permits.retain(|_, expires| now < *expires);
        if !self.is_quarantined() {
            let possible_crashes = self.crashed_servers.len() + self.permits.len();
            return if possible_crashes < CRASHES_TO_QUARANTINE {
                Ok(())
            } else {
                Err(Rejection::InFlight)
            };
        }
        if !self.permits.is_empty() || now.since(self.last_crash_or_trial) < self.trial_delay() {
            return Err(Rejection::Quarantined);
        }
        self.last_crash_or_trial = now;
        Ok(())
    }

    fn is_expired(&self, now: Instant) -> bool {
        let (since, retention) = if self.is_quarantined() {
            (
                self.last_crash_or_trial.max(self.last_requested),
                QUARANTINE_RETENTION,
            )
        } else {
            (self.last_crash_or_trial, SUSPECT_RETENTION)
        };
        now.since(since) >= retention
    }
}

/// Decides which requests may be sent to a server, for all gateways.
///
/// Load pattern: a request crashes every server that starts to run it and is retried at any gateway, while other
/// requests run on the same servers. Once a server has crashed under a request, its crashes and its attempts in
/// progress together are at most [`CRASHES_TO_QUARANTINE`] over all gateways. After that many crashes it is
/// quarantined, and tried one at a time with growing delays. A complete response clears it. Memory is bounded by the
/// bounds of the list, and each customer has a bound of its own.
#[derive(Debug, Default)]
pub struct Tracker {
    cases: BTreeMap<Identity, OpenCase>,
    accounts: Accounts,
    silences: Silences,
    /// The requests that lost gateways had in flight.
    lost: Silences,
    /// The cases of parts on the committed list.
    committed_parts: BTreeMap<Part, PartCase>,
    /// What was proposed for parts and is not committed yet; `None` if they are to be released.
    proposed_parts: BTreeMap<Part, Option<PartCase>>,
    /// The requests that were released here and are still on the committed list.
    released: BTreeSet<Identity>,
    last_permit: u64,
    /// Whether there may be changes to propose.
    is_dirty: bool,
    /// When the last change was proposed that is not committed yet.
    proposed: Option<Instant>,
    last_scan: Instant,
}

impl Tracker {
    /// Creates a tracker whose permits are numbered from `number`, which distinguishes them from those of other
    /// trackers.
    #[must_use]
    pub fn new(number: u64) -> Self {
        Self {
            last_permit: number,
            ..Self::default()
        }
    }

    /// Applies the committed list.
    pub fn apply_list(&mut self, list: &List, now: Instant) {
        self.proposed = None;
        self.is_dirty = true;
        self.released
            .retain(|identity| list.get(identity).is_some());
        for case in self.cases.values_mut() {
            case.committed_crashes = 0;
        }
        for committed in list.cases() {
            if self.released.contains(&committed.identity) {
                continue;
            }
            let case = self.cases.entry(committed.identity.clone());
            let case = case.or_insert_with(|| OpenCase::new(now));
            case.crashed_servers
                .extend(committed.crashed_servers.iter().cloned());
            case.committed_crashes = committed.crashed_servers.len();
        }
        self.apply_parts(list, now);
    }

    /// Decides whether a request for `service` may be sent to a server; `time_left` is how much longer it may take.
    pub fn decide(
        &mut self,
        features: &Features,
        service: &id::Service,
        time_left: Duration,
        now: Instant,
    ) -> Decision {
        let mut case = self.cases.get_mut(&features.identity);
        if let Some(case) = &mut case {
            case.last_requested = now;
        }
        let (trial, versions) = match self.accounts.judge(features, service, now) {
            Verdict::Clear => (Vec::new(), None),
            Verdict::Versions(versions) => (Vec::new(), Some(versions)),
            Verdict::Trial(parts) => (parts, None),
            Verdict::Rejected(rejection) => {
                // A trial may have to be committed.
                self.is_dirty |= rejection == Rejection::PartInTrial;
                return Decision::Rejected(rejection);
            }
        };
        if let Some(case) = &mut case
            && let Err(rejection) = case.begin_attempt(now)
        {
            return Decision::Rejected(rejection);
        }
        if case.is_none() && trial.is_empty() {
            return versions.map_or(Decision::Allowed, Decision::AllowedAt);
        }
        self.last_permit = self.last_permit.wrapping_add(1);
        let (number, expires) = (self.last_permit, now + time_left);
        if let Some(case) = case {
            case.permits.insert(number, expires);
        }
        self.accounts.begin_trial(&trial, number, expires, now);
        Decision::Permitted(Permit {
            features: features.clone(),
            number,
        })
    }

    /// Releases a permit that was not used.
    pub fn release_permit(&mut self, permit: &Permit) {
        self.end_permit(&permit.features, permit.number, false);
    }

    fn end_permit(&mut self, features: &Features, number: u64, was_sent: bool) {
        if let Some(case) = self.cases.get_mut(&features.identity) {
            case.permits.remove(&number);
        }
        self.accounts.end_trial(features, number, was_sent);
    }

    /// Records a gateway's observation; returns whether fewer requests with its features may be sent than before.
    pub fn record(&mut self, observation: &Observation, now: Instant) -> bool {
        let features = &observation.features;
        if let Some(number) = observation.permit {
            let was_sent = observation.effect != Effect::NotSent;
            self.end_permit(features, number, was_sent);
        }
        match &observation.effect {
            Effect::Crashed(server) => self.record_crash_of(server, observation, now),
            Effect::CrashedParts(server) => {
                self.release(&features.identity);
                self.charge_parts(observation, server, now)
            }
            Effect::Silent(server) => {
                let is_gone = self.silences.record(server, observation, now);
                is_gone && self.record_crash_of(server, observation, now)
            }
            Effect::Completed => {
                self.release(&features.identity);
                self.record_answer(observation, now);
                false
            }
            Effect::Failed => {
                self.release(&features.identity);
                false
            }
            Effect::Answered => {
                self.record_answer(observation, now);
                false
            }
            Effect::Inconclusive | Effect::NotSent => false,
        }
    }

    fn record_crash_of(
        &mut self,
        server: &Arc<str>,
        observation: &Observation,
        now: Instant,
    ) -> bool {
        let is_new = self.record_crash(&observation.features.identity, server, now);
        self.charge_parts(observation, server, now) || is_new
    }

    /// Returns how many servers are known to have crashed under a request.
    #[must_use]
    pub fn crash_count(&self, identity: &Identity) -> usize {
        self.cases
            .get(identity)
            .map_or(0, |case| case.crashed_servers.len())
    }

    fn record_crash(&mut self, identity: &Identity, incarnation: &Arc<str>, now: Instant) -> bool {
        if !self.cases.contains_key(identity) {
            self.make_room(identity);
        }
        let case = self.cases.entry(identity.clone());
        let case = case.or_insert_with(|| OpenCase::new(now));
        if !case.crashed_servers.insert(Arc::clone(incarnation)) {
            return false;
        }
        case.last_crash_or_trial = now;
        self.is_dirty = true;
        true
    }

    fn release(&mut self, identity: &Identity) {
        let Some(case) = self.cases.remove(identity) else {
            return;
        };
        if case.committed_crashes > 0 {
            self.released.insert(identity.clone());
            self.is_dirty = true;
        }
    }

    /// Releases the case with the fewest crashes, and of these the oldest, if the customer has too many cases or
    /// there are too many in all.
    fn make_room(&mut self, identity: &Identity) {
        let is_same_customer = |other: &&Identity| other.customer == identity.customer;
        let has_too_many =
            self.cases.keys().filter(is_same_customer).count() >= MAX_CASES_PER_CUSTOMER;
        if !has_too_many && self.cases.len() < MAX_CASES {
            return;
        }
        let cases = self.cases.iter();
        let cases = cases.filter(|(other, _)| !has_too_many || is_same_customer(other));
        let least =
            cases.min_by_key(|(_, case)| (case.crashed_servers.len(), case.last_crash_or_trial));
        if let Some(least) = least.map(|(least, _)| least.clone()) {
            self.release(&least);
        }
    }

    /// Returns the changes of the list to propose for the log now.
    pub fn propose_steps(&mut self, now: Instant) -> Vec<Step> {
        self.release_expired(now);
        let is_pending = |proposed| now.since(proposed) < REPROPOSE_INTERVAL;
        if !self.is_dirty || self.proposed.is_some_and(is_pending) {
            return Vec::new();
        }
        let released = self.released.iter().cloned().map(Step::Release);
        let grown = self.cases.iter().filter(|(identity, case)| {
            let crashes = case.crashed_servers.len();
            // A released request leaves the list first: its earlier crashes must not be added to new ones.
            crashes >= CRASHES_TO_COMMIT
                && crashes > case.committed_crashes
                && !self.released.contains(*identity)
        });
        let grown = grown.map(|(identity, case)| {
            Step::Put(Case {
                identity: identity.clone(),
                crashed_servers: case.crashed_servers.clone(),
            })
        });
        let mut steps: Vec<_> = released.chain(grown).collect();
        steps.extend(self.propose_parts());
        self.is_dirty = false;
        if !steps.is_empty() {
            self.proposed = Some(now);
            // Checked again once the steps are committed, or have taken too long.
            self.is_dirty = true;
        }
        steps
    }

    fn release_expired(&mut self, now: Instant) {
        if now.since(self.last_scan) < EXPIRY_SCAN_INTERVAL {
            return;
        }
        self.last_scan = now;
        let cases = self.cases.iter();
        let expired = cases.filter(|(_, case)| case.is_expired(now));
        let expired: Vec<_> = expired.map(|(identity, _)| identity.clone()).collect();
        for identity in expired {
            self.release(&identity);
        }
        self.is_dirty |= self.accounts.close_expired(now);
    }
}

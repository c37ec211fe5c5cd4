//! The committed list of requests, and of parts of prompts, under which servers crashed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::id;

use super::Identity;
use super::Part;
use super::Software;
use super::account::CRASHES_TO_QUARANTINE_PART;

/// How many cases of one customer are kept. A customer with more of them loses its own oldest ones, and nobody
/// else's.
pub(super) const MAX_CASES_PER_CUSTOMER: usize = 32;

/// How many cases are kept in all, at some 100 bytes each: together as much as one more log entry may take on a small
/// host.
pub(super) const MAX_CASES: usize = 1_024;

/// How many steps are kept for gateways that are a little behind; those further behind get the whole list.
const MAX_RECENT_STEPS: usize = 64;

/// A request and the servers that crashed under it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Case {
    /// The request.
    pub identity: Identity,
    /// The incarnations of the servers that crashed.
    #[serde(rename = "ended")]
    pub crashed_servers: BTreeSet<Arc<str>>,
}

/// A part of prompts, and the servers that crashed under requests with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCase {
    /// The part.
    pub part: Part,
    /// The customer whose request was charged first.
    pub owner: Option<id::Customer>,
    /// Whether requests of several customers were charged.
    pub is_shared: bool,
    /// The incarnations of the servers that crashed, with their software.
    pub crashed_servers: BTreeMap<Arc<str>, Software>,
    /// The software that has answered requests with the part since.
    pub sound_software: BTreeSet<Software>,
    /// How many trials may have begun.
    pub trials: u32,
}

impl PartCase {
    /// Whether enough servers have crashed.
    #[must_use]
    pub fn is_quarantined(&self) -> bool {
        self.crashed_servers.len() >= CRASHES_TO_QUARANTINE_PART
    }

    /// Whether requests with the part are not sent to servers with this software, but for trials.
    #[must_use]
    pub fn withholds(&self, software: &Software) -> bool {
        self.is_quarantined() && !self.sound_software.contains(software)
    }
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Adds a case or replaces that of the same request.
    Put(Case),
    /// Removes a request that got a complete response or whose case has expired.
    Release(Identity),
    /// Adds the case of a part or replaces it.
    PutPart(PartCase),
    /// Removes a part of requests that were answered, that an operator released, or whose case has expired.
    ReleasePart(Part),
}

/// An update of a gateway's copy of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The version after the update.
    pub version: u64,
    /// The version that the update applies to; `None` if it contains the whole list.
    pub base_version: Option<u64>,
    /// The steps from the base version, or one for each case.
    pub steps: Vec<Step>,
}

/// The requests, and the parts of prompts, under which servers crashed, as committed to the log.
///
/// # Examples
///
/// ```
/// use curlewlift_core::quarantine::Case;
/// use curlewlift_core::quarantine::Identity;
/// use curlewlift_core::quarantine::List;
/// use curlewlift_core::quarantine::Step;
/// let identity = Identity::new(None, "shop.example", "/chat/1", b"hello");
/// let mut list = List::default();
/// let case = Case { identity: identity.clone(), crashed_servers: ["s1".into(), "s2".into()].into() };
/// list.apply(&Step::Put(case));
/// let mut copy = List::default();
/// copy.apply_update(&list.update_since(0).expect("it is behind"));
/// assert_eq!(copy.get(&identity).map(|case| case.crashed_servers.len()), Some(2));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Increases with each step.
    version: u64,
    /// In the order of their last change.
    cases: Vec<Case>,
    /// In the order of their last change.
    #[serde(default)]
    parts: Vec<PartCase>,
    recent: VecDeque<Step>,
}

impl List {
    /// Applies one step.
    pub fn apply(&mut self, step: &Step) {
        self.version += 1;
        self.recent.push_back(step.clone());
        if self.recent.len() > MAX_RECENT_STEPS {
            self.recent.pop_front();
        }
        self.change(step);
    }

    fn change(&mut self, step: &Step) {
        match step {
            Step::Put(case) => {
                self.remove(&case.identity);
                self.make_room(&case.identity);
                self.cases.push(case.clone());
            }
            Step::Release(identity) => self.remove(identity),
            Step::PutPart(case) => {
                self.remove_part(case.part);
                self.make_room_for_part(case);
                self.parts.push(case.clone());
            }
            Step::ReleasePart(part) => self.remove_part(*part),
        }
    }

    fn remove(&mut self, identity: &Identity) {
        self.cases.retain(|case| case.identity != *identity);
    }

    fn remove_part(&mut self, part: Part) {
        self.parts.retain(|case| case.part != part);
    }

    /// Drops the oldest case of the same owner if it has too many, or of the owner with the most if there are too many in
    /// all.
    fn make_room_for_part(&mut self, case: &PartCase) {
        let mut counts: BTreeMap<_, usize> = BTreeMap::new();
        for case in &self.parts {
            *counts.entry(&case.owner).or_default() += 1;
        }
        let own = counts.get(&case.owner).copied().unwrap_or(0);
        let crowded = if own >= MAX_CASES_PER_CUSTOMER {
            Some(&case.owner)
        } else if self.parts.len() >= MAX_CASES {
            let most = counts.into_iter().max_by_key(|(_, count)| *count);
            most.map(|(owner, _)| owner)
        } else {
            None
        };
        let is_crowded = |case: &PartCase| crowded == Some(&case.owner);
        if let Some(oldest) = self.parts.iter().position(is_crowded) {
            self.parts.remove(oldest);
        }
    }

    /// Drops the oldest case of the customer if it has too many, or of all customers if there are too many in all.
    fn make_room(&mut self, identity: &Identity) {
        let is_same_customer = |case: &Case| case.identity.customer == identity.customer;
        let count = self
            .cases
            .iter()
            .filter(|case| is_same_customer(case))
            .count();
        let oldest = if count >= MAX_CASES_PER_CUSTOMER {
            self.cases.iter().position(is_same_customer)
        } else {
            (self.cases.len() >= MAX_CASES).then_some(0)
        };
        if let Some(oldest) = oldest {
            self.cases.remove(oldest);
        }
    }

    /// Returns the case of a request.
    #[must_use]
    pub fn get(&self, identity: &Identity) -> Option<&Case> {
        self.cases.iter().find(|case| case.identity == *identity)
    }

    /// Returns the case of a part.
    #[must_use]
    pub fn get_part(&self, part: Part) -> Option<&PartCase> {
        self.parts.iter().find(|case| case.part == part)
    }

    /// Returns the cases of all parts.
    pub fn parts(&self) -> impl Iterator<Item = &PartCase> {
        self.parts.iter()
    }

    /// Returns all cases of requests.
    pub fn cases(&self) -> impl Iterator<Item = &Case> {
        self.cases.iter()
    }

    /// Returns the version, which increases with each step; 0 before the first.
    #[must_use]
    pub fn get_version(&self) -> u64 {
        self.version
    }

    /// Returns the update from `version` to the current one; `None` if they are the same.
    #[must_use]
    pub fn update_since(&self, version: u64) -> Option<Update> {
        if version == self.version {
            return None;
        }
        let missing = self.version.checked_sub(version);
        let missing = missing.and_then(|missing| usize::try_from(missing).ok());
        let first = missing.and_then(|missing| self.recent.len().checked_sub(missing));
        let update = match first {
            Some(first) => Update {
                version: self.version,
                base_version: Some(version),
                steps: self.recent.iter().skip(first).cloned().collect(),
            },
            None => Update {
                version: self.version,
                base_version: None,
                steps: self.to_steps(),
            },
        };
        Some(update)
    }

    /// The steps that build the whole list.
    fn to_steps(&self) -> Vec<Step> {
        let cases = self.cases.iter().cloned().map(Step::Put);
        let parts = self.parts.iter().cloned().map(Step::PutPart);
        cases.chain(parts).collect()
    }

    /// Applies an update; one that starts from another version than the current one is ignored.
    pub fn apply_update(&mut self, update: &Update) {
        match update.base_version {
            Some(base_version) if base_version != self.version => return,
            Some(_) => {}
            None => {
                self.cases.clear();
                self.parts.clear();
            }
        }
        for step in &update.steps {
            self.change(step);
        }
        self.version = update.version;
    }
}

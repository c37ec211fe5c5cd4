//! What is agreed on of requests under which servers ended.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Identity;

/// The most cases of one customer: a customer with more bad requests than this loses sight of its own
/// oldest ones, and of nobody else's.
pub(super) const PER_CUSTOMER: usize = 32;

/// The most cases in all, some 100 bytes each: what one log entry more may weigh on a small host.
pub(super) const MOST: usize = 1_024;

/// How many steps are kept for gateways that are a little behind; others are told the whole.
const RECENT: usize = 64;

/// A request, and the servers that ended under it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Case {
    /// The request.
    pub identity: Identity,
    /// The incarnations that ended.
    #[serde(rename = "ended")]
    pub crashed_servers: BTreeSet<Arc<str>>,
}

/// One change of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// So many servers have ended under a request.
    Put(Case),
    /// It was answered whole, or is long past.
    Release(Identity),
}

/// What is new of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The version that they lead to.
    pub version: u64,
    /// The version that they start from; none where they are the whole list.
    pub base_version: Option<u64>,
    /// The steps between.
    pub steps: Vec<Step>,
}

/// The requests under which servers ended, as they are agreed; kept in the log.
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
    /// Rises with each step.
    version: u64,
    /// The one that changed last is at the end.
    cases: Vec<Case>,
    recent: VecDeque<Step>,
}

impl List {
    /// Applies one step.
    pub fn apply(&mut self, step: &Step) {
        self.version += 1;
        self.recent.push_back(step.clone());
        if self.recent.len() > RECENT {
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
        }
    }

    fn remove(&mut self, identity: &Identity) {
        self.cases.retain(|case| case.identity != *identity);
    }

    /// Drops the oldest case of a customer that has too many, or of all.
    fn make_room(&mut self, identity: &Identity) {
        let same = |case: &Case| case.identity.customer == identity.customer;
        let count = self.cases.iter().filter(|case| same(case)).count();
        let oldest = if count >= PER_CUSTOMER {
            self.cases.iter().position(same)
        } else {
            (self.cases.len() >= MOST).then_some(0)
        };
        if let Some(oldest) = oldest {
            self.cases.remove(oldest);
        }
    }

    /// What is known of a request.
    #[must_use]
    pub fn get(&self, identity: &Identity) -> Option<&Case> {
        self.cases.iter().find(|case| case.identity == *identity)
    }

    /// All cases.
    pub fn cases(&self) -> impl Iterator<Item = &Case> {
        self.cases.iter()
    }

    /// Rises with each step; 0 before the first.
    #[must_use]
    pub fn get_version(&self) -> u64 {
        self.version
    }

    /// What leads from `version` to this one; none where it is this one.
    #[must_use]
    pub fn update_since(&self, version: u64) -> Option<Update> {
        if version == self.version {
            return None;
        }
        let missing = self.version.checked_sub(version);
        let missing = missing.and_then(|missing| usize::try_from(missing).ok());
        let first = missing.and_then(|missing| self.recent.len().checked_sub(missing));
        let news = match first {
            Some(first) => Update {
                version: self.version,
                base_version: Some(version),
                steps: self.recent.iter().skip(first).cloned().collect(),
            },
            None => Update {
                version: self.version,
                base_version: None,
                steps: self.cases.iter().cloned().map(Step::Put).collect(),
            },
        };
        Some(news)
    }

    /// Takes up what is new; news that start from another version than this change nothing.
    pub fn apply_update(&mut self, news: &Update) {
        match news.base_version {
            Some(former) if former != self.version => return,
            Some(_) => {}
            None => self.cases.clear(),
        }
        for step in &news.steps {
            self.change(step);
        }
        self.version = news.version;
    }
}

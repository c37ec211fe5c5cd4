//! The hub: what the gateways tell, summed up.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::quota::Desk;
use crate::quota::Tolerance;
use crate::route::Table;

use super::Gateway;
use super::Listing;
use super::Load;
use super::Question;
use super::Reply;
use super::Roll;
use super::version::version;

/// How long silence means what.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// After how long a gateway that is not heard is left out of the roll.
    ///
    /// Several of the waits that a question takes at most, so that one lost answer takes nobody
    /// out.
    pub silent: Duration,
    /// After how long it is forgotten, and its part of the allowances is the others' again.
    pub forget: Duration,
    /// How much more than an allowance may be let in.
    pub tolerance: Tolerance,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            silent: Duration::from_millis(1_200),
            forget: Duration::from_secs(10),
            tolerance: Tolerance::default(),
        }
    }
}

/// What is known of one gateway.
#[derive(Clone, Debug)]
struct Seen {
    incarnation: u64,
    gateway: Gateway,
    ready: bool,
    loads: Vec<Load>,
    heard: Instant,
}

/// What the gateways tell, summed up.
///
/// It begins empty with each leader. Memory is linear in the gateways and in what they have in
/// flight; a question costs time linear in the backend servers in use.
#[derive(Clone, Debug)]
pub struct Hub {
    tuning: Tuning,
    seen: BTreeMap<id::Host, Seen>,
    sums: BTreeMap<Arc<str>, u32>,
    desk: Desk,
    table: u64,
    listing: Arc<Listing>,
}

impl Hub {
    /// A hub that begins at `now` and knows nothing yet.
    #[must_use]
    pub fn new(tuning: Tuning, now: Instant) -> Self {
        Self {
            tuning,
            seen: BTreeMap::new(),
            sums: BTreeMap::new(),
            desk: Desk::new(tuning.tolerance, now),
            table: 0,
            listing: Arc::default(),
        }
    }

    /// Takes up a newer table's allowances.
    pub fn adopt(&mut self, table: &Table, now: Instant) {
        if table.get_number() > self.table {
            self.table = table.get_number();
            let accounts = table.accounts();
            let accounts = accounts.map(|account| (&account.name, account.allowance));
            self.desk.adopt(accounts, now);
        }
    }

    /// Takes up a newer list of backend servers.
    pub fn list(&mut self, listing: Arc<Listing>) {
        self.listing = listing;
    }

    /// The list that it gives out.
    #[must_use]
    pub fn get_listing(&self) -> &Arc<Listing> {
        &self.listing
    }

    /// Takes note of what a gateway tells.
    pub fn hear(&mut self, question: &Question, now: Instant) {
        let new = self
            .seen
            .get(&question.host)
            .is_none_or(|seen| seen.incarnation != question.incarnation);
        if new {
            for level in &question.levels {
                self.desk.heard(level);
            }
        }
        for (customer, amount) in &question.spent {
            self.desk.spent(customer, *amount, now);
        }
        let seen = Seen {
            incarnation: question.incarnation,
            gateway: question.gateway.clone(),
            ready: question.ready,
            loads: question.loads.clone(),
            heard: now,
        };
        if let Some(former) = self.seen.insert(question.host.clone(), seen) {
            self.take_off(&former.loads);
        }
        for load in &question.loads {
            *self.sums.entry(Arc::clone(&load.incarnation)).or_default() += load.requests;
        }
    }

    /// The answer to a question that was heard, with the document of a newer table.
    pub fn answer(
        &mut self,
        question: &Question,
        document: Option<(u64, String)>,
        now: Instant,
    ) -> Reply {
        self.forget(now);
        self.desk.fill(self.silent(now), now);
        let roll = self.roll(now);
        let listing = &self.listing;
        Reply {
            table: document,
            held: listing.version,
            listing: self.has_news(question).then(|| Listing::clone(listing)),
            count: self.count(),
            roll: (roll.version != question.roll).then_some(roll),
            loads: self.others(question),
            levels: self.desk.levels(),
            ..Reply::default()
        }
    }

    /// The gateway that fetches the list for all: the one on `beside`, or the first that is heard.
    #[must_use]
    pub fn fetcher(&self, beside: &id::Host, now: Instant) -> Option<id::Host> {
        let live = |seen: &Seen| self.is_live(seen, now);
        if self.seen.get(beside).is_some_and(live) {
            return Some(beside.clone());
        }
        let mut seen = self.seen.iter();
        let first = seen.find(|(_, seen)| live(seen));
        first.map(|(host, _)| host.clone())
    }

    /// How many gateways it knows.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.seen.len()).unwrap_or(u32::MAX)
    }

    /// Whether there is something that the asker does not hold yet, worth an answer at once.
    #[must_use]
    pub fn has_news(&self, question: &Question) -> bool {
        self.listing.version != 0 && self.listing.version != question.listing
    }

    /// The part of the gateways that is not heard and not forgotten, 0 to 1.
    fn silent(&self, now: Instant) -> f64 {
        let silent = self.seen.values();
        let silent = silent.filter(|seen| !self.is_live(seen, now)).count();
        let silent = u32::try_from(silent).unwrap_or(u32::MAX);
        f64::from(silent) / f64::from(self.count().max(1))
    }

    /// Whether a gateway was heard so lately that it is not silent.
    fn is_live(&self, seen: &Seen, now: Instant) -> bool {
        now.since(seen.heard) < self.tuning.silent
    }

    fn forget(&mut self, now: Instant) {
        let forget = self.tuning.forget;
        let gone = self
            .seen
            .extract_if(.., |_, seen| now.since(seen.heard) >= forget);
        let gone: Vec<_> = gone.collect();
        for (_, seen) in gone {
            self.take_off(&seen.loads);
        }
    }

    fn take_off(&mut self, loads: &[Load]) {
        for load in loads {
            if let Some(sum) = self.sums.get_mut(&load.incarnation) {
                *sum = sum.saturating_sub(load.requests);
            }
        }
        self.sums.retain(|_, sum| *sum > 0);
    }

    /// What all others have in flight.
    fn others(&self, question: &Question) -> Vec<Load> {
        let own = |incarnation: &Arc<str>| {
            let mut own = question.loads.iter();
            let own = own.find(|load| load.incarnation == *incarnation);
            own.map_or(0, |load| load.requests)
        };
        let sums = self.sums.iter();
        let others = sums.map(|(incarnation, sum)| Load {
            incarnation: Arc::clone(incarnation),
            requests: sum.saturating_sub(own(incarnation)),
        });
        others.filter(|load| load.requests > 0).collect()
    }

    fn roll(&self, now: Instant) -> Roll {
        let live = self.seen.values();
        let live = live.filter(|seen| seen.ready && self.is_live(seen, now));
        let gateways: Vec<_> = live.map(|seen| seen.gateway.clone()).collect();
        Roll {
            version: version(&gateways),
            gateways,
        }
    }
}

//! An entry's side of the allowances.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::route::Allowance;

use super::Bucket;
use super::Level;
use super::Tolerance;
use super::amount;

/// After how long without word from the desk an entry keeps to its own part.
///
/// Two and a half of the waits that a question to the desk takes at most; longer would let a
/// half that is cut off spend the whole allowance.
const STALE: Duration = Duration::from_millis(700);

/// How old the desk's word is when it comes, in seconds: others have let in more by then.
const ON_ITS_WAY: f64 = 0.1;

/// What an entry knows of one customer.
#[derive(Clone, Debug)]
struct Known {
    /// The whole bucket as the desk last told, less what was let in here since.
    whole: Bucket,
    /// This entry's own part, for when the desk is not heard.
    own: Bucket,
    /// How much all entries lately let in a second, by the desk's last word.
    pace: f64,
    /// Let in here since that word.
    since: f64,
    /// Let in since the last report was taken.
    unreported: u64,
    /// Reported in a question that has no answer yet.
    reported: u64,
}

impl Known {
    fn new(whole: f64, own: f64, now: Instant) -> Self {
        Self {
            whole: Bucket::new(whole, now),
            own: Bucket::new(own, now),
            pace: 0.0,
            since: 0.0,
            unreported: 0,
            reported: 0,
        }
    }

    /// What others are likely to have let in since the desk's word, which came `age` ago.
    fn others(&self, age: Duration) -> f64 {
        (self.pace * (age.as_secs_f64() + ON_ITS_WAY) - self.since).max(0.0)
    }

    fn let_in(&mut self, cost: u64) {
        let wanted = amount(cost);
        self.since += wanted;
        self.whole.draw(wanted);
        self.own.draw(wanted);
        self.unreported = self.unreported.saturating_add(cost);
    }

    fn give_back(&mut self, cost: u64) {
        let kept = self.unreported.saturating_sub(cost);
        let back = amount(self.unreported - kept);
        self.unreported = kept;
        self.since = (self.since - back).max(0.0);
        self.whole.draw(-back);
        self.own.draw(-back);
    }
}

/// What an entry may let in, by what the desk last told it.
#[derive(Clone, Debug, Default)]
pub struct Share {
    tolerance: Tolerance,
    known: BTreeMap<id::Customer, Known>,
    heard: Option<Instant>,
    entries: u32,
    /// How many reports were taken.
    reports: u64,
}

impl Share {
    /// A share that knows nothing yet, where so much more than an allowance may be let in.
    #[must_use]
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            ..Self::default()
        }
    }

    /// Whether a request of `customer` that counts `cost` is let in at `now`; if so it is counted.
    pub fn admit(
        &mut self,
        customer: &id::Customer,
        allowance: &Allowance,
        cost: u64,
        now: Instant,
    ) -> bool {
        if !allowance.is_limited() {
            return true;
        }
        let rate = self.tolerance.rate(allowance);
        let depth = allowance.burst;
        let part = 1.0 / f64::from(self.entries.max(1));
        let age = self.heard.map(|heard| now.since(heard));
        let known = self
            .known
            .entry(customer.clone())
            .or_insert_with(|| Known::new(depth, depth * part, now));
        let whole = known.whole.fill(rate, depth, now);
        let own = known.own.fill(rate * part, depth * part, now);
        let (left, depth) = match age {
            Some(age) if age < STALE => (whole - known.others(age), depth),
            _ => (own.min(whole), depth * part),
        };
        // A request that counts more than a bucket holds needs a full one.
        if left < amount(cost).min(depth) {
            return false;
        }
        known.let_in(cost);
        true
    }

    /// The report that what is let in now will be told in.
    #[must_use]
    pub fn get_report(&self) -> u64 {
        self.reports
    }

    /// Gives back what a request counted that surely did not run, where `report`, in which it is told,
    /// was not taken yet.
    ///
    /// Taken off what others count in a later report, it would be missing in the window in which they
    /// run: by what is refused in the time that requests are held.
    pub fn give_back(&mut self, customer: &id::Customer, cost: u64, report: u64) {
        if report != self.reports {
            return;
        }
        if let Some(known) = self.known.get_mut(customer) {
            known.give_back(cost);
        }
    }

    /// What was let in since the last report that the desk took.
    pub fn report(&mut self) -> Vec<(id::Customer, u64)> {
        self.reports += 1;
        let mut report = Vec::new();
        for (customer, known) in &mut self.known {
            let unreported = std::mem::take(&mut known.unreported);
            known.reported = known.reported.saturating_add(unreported);
            if known.reported > 0 {
                report.push((customer.clone(), known.reported));
            }
        }
        report
    }

    /// What it knows of each, for a desk that has only begun.
    #[must_use]
    pub fn levels(&self) -> Vec<Level> {
        let known = self.known.iter();
        known
            .map(|(customer, known)| Level {
                customer: customer.clone(),
                left: known.whole.level(),
                pace: known.pace,
            })
            .collect()
    }

    /// Takes up the desk's word, in answer to the last report.
    pub fn heard(&mut self, levels: &[Level], entries: u32, now: Instant) {
        self.heard = Some(now);
        self.entries = entries;
        for known in self.known.values_mut() {
            known.reported = 0;
        }
        for level in levels {
            let known = self.known.entry(level.customer.clone());
            let known = known.or_insert_with(|| Known::new(level.left, 0.0, now));
            known.whole = Bucket::new(level.left, now);
            known.pace = level.pace;
            known.since = 0.0;
            known.whole.draw(amount(known.unreported));
        }
    }
}

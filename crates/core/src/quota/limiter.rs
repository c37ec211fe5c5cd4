//! The desk: one bucket a customer, at the hub.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::route::Quota;

use super::Bucket;
use super::Charge;
use super::Tolerance;
use super::amount;

/// When to come back where nothing is filled at present: a gateway that is set aside is heard again, or
/// counts as gone, within some such times.
const NOTHING_FILLS: Duration = Duration::from_secs(1);

/// What is kept for one customer.
#[derive(Clone, Copy, Debug)]
struct Held {
    allowance: Quota,
    bucket: Bucket,
    /// Drawn, and neither spent nor given back yet.
    waiting: f64,
}

impl Held {
    /// What the bucket holds at the most, where `present` of the allowance is the desk's: with what
    /// waits, no more than the allowance gives at once.
    fn depth(&self, present: f64) -> f64 {
        self.allowance.burst * present - self.waiting
    }

    fn fill(&mut self, tolerance: &Tolerance, present: f64, now: Instant) {
        let depth = self.depth(present);
        let rate = tolerance.fill_rate(&self.allowance) * present;
        self.bucket.fill(rate, depth, now);
    }
}

/// One bucket a customer, of which each request that the hub hears of is drawn before it is sent.
///
/// What it lets through in any time is at most what it held and what has been filled since. A part is
/// set aside for gateways that may be letting in by themselves ([`super::LocalLimiter`]). It begins empty, as
/// what the desk before it let through is not known; so all desks and gateways together let in no more
/// than one bucket would. Filled up at any later time it would let in a burst twice.
#[derive(Clone, Debug)]
pub struct Limiter {
    tolerance: Tolerance,
    present: f64,
    held: BTreeMap<id::Customer, Held>,
}

impl Limiter {
    /// A desk with nothing in its buckets, where so much more than an allowance may be let in.
    ///
    /// It fills nothing before [`Limiter::set_hub_share`] was told who is there.
    #[must_use]
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            present: 0.0,
            held: BTreeMap::new(),
        }
    }

    /// Takes up the allowances of a table; a bucket never holds more than its burst.
    pub fn set_quotas<'a>(
        &mut self,
        accounts: impl Iterator<Item = (&'a id::Customer, Quota)>,
        now: Instant,
    ) {
        self.fill(now);
        let limited = accounts.filter(|(_, allowance)| allowance.is_limited());
        let next = limited.map(|(customer, allowance)| {
            let mut held = self.held.get(customer).copied().unwrap_or(Held {
                allowance,
                bucket: Bucket::new(0.0, now),
                waiting: 0.0,
            });
            held.allowance = allowance;
            held.bucket.cap(held.depth(self.present));
            (customer.clone(), held)
        });
        self.held = next.collect();
    }

    /// Says that nobody can have let anything in before `now`.
    pub fn fill_all(&mut self, now: Instant) {
        for held in self.held.values_mut() {
            let depth = held.depth(self.present);
            held.bucket = Bucket::new(depth, now);
        }
    }

    /// Says which part (0 to 1) of the allowances is the desk's own at `now`; the rest is set aside.
    pub fn set_hub_share(&mut self, present: f64, now: Instant) {
        if (present - self.present).abs() < f64::EPSILON {
            return;
        }
        // Of the time since it was last told the smaller part is meant.
        self.present = self.present.min(present);
        self.fill(now);
        self.present = present;
    }

    /// Draws what a request counts; whether that is spent is told later.
    ///
    /// # Errors
    ///
    /// After how long there is enough, if nobody else draws.
    pub fn acquire(&mut self, charge: &Charge, now: Instant) -> Result<(), Duration> {
        let Some(held) = self.held.get_mut(&charge.customer) else {
            return Ok(());
        };
        held.fill(&self.tolerance, self.present, now);
        let cost = amount(charge.cost);
        // A request that counts more than a bucket holds needs a full one.
        let missing = cost.min(held.allowance.burst) - held.bucket.level();
        if missing > 0.0 {
            let rate = self.tolerance.fill_rate(&held.allowance) * self.present;
            let wait = Duration::try_from_secs_f64(missing / rate);
            return Err(wait.unwrap_or(NOTHING_FILLS).min(NOTHING_FILLS));
        }
        held.bucket.charge(cost);
        held.waiting += cost;
        Ok(())
    }

    /// Takes note that a request is sent whose count was drawn here.
    pub fn commit(&mut self, charge: &Charge, now: Instant) {
        if let Some(held) = self.held.get_mut(&charge.customer) {
            held.fill(&self.tolerance, self.present, now);
            held.waiting = (held.waiting - amount(charge.cost)).max(0.0);
        }
    }

    /// Gives back what a request counted that was drawn here and surely is not sent.
    pub fn refund(&mut self, charge: &Charge, now: Instant) {
        if let Some(held) = self.held.get_mut(&charge.customer) {
            held.fill(&self.tolerance, self.present, now);
            held.waiting = (held.waiting - amount(charge.cost)).max(0.0);
            held.bucket.charge(-amount(charge.cost));
            held.bucket.cap(held.depth(self.present));
        }
    }

    fn fill(&mut self, now: Instant) {
        for held in self.held.values_mut() {
            held.fill(&self.tolerance, self.present, now);
        }
    }
}

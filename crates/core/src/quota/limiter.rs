//! The hub's limiter: one token bucket per customer.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::route::Quota;

use super::Bucket;
use super::Charge;
use super::Tolerance;
use super::to_f64;

/// The longest delay after which a rejected request may be retried. It is also used while the buckets do not fill:
/// within a few such delays an unreachable gateway reports again or its share expires, and the hub gets that share
/// back.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The quota and bucket of one customer.
#[derive(Clone, Copy, Debug)]
struct CustomerBucket {
    quota: Quota,
    bucket: Bucket,
    /// Charged for waiting requests; not committed or refunded yet.
    reserved: f64,
    /// The most that gateways whose shares are reserved may have gained and not admitted yet. Their buckets start empty
    /// when they lose the hub.
    gained_elsewhere: f64,
}

impl CustomerBucket {
    /// An empty bucket of a hub that does not know what gateways have gained.
    fn new(quota: Quota, now: Instant) -> Self {
        Self {
            quota,
            bucket: Bucket::new(0.0, now),
            reserved: 0.0,
            gained_elsewhere: quota.burst,
        }
    }

    /// The highest level of the bucket: together with what is reserved and what gateways may have gained, it is no more
    /// than the quota's burst.
    fn burst(&self) -> f64 {
        self.quota.burst - self.gained_elsewhere - self.reserved
    }

    /// Fills the bucket for the time since the last fill, in which `hub_share` of the quota was the hub's.
    fn fill(&mut self, tolerance: &Tolerance, hub_share: f64, now: Instant) {
        let elsewhere = 1.0 - hub_share;
        let gained = self.quota.rate * elsewhere * self.bucket.time_since_update(now).as_secs_f64();
        let max_gained = self.quota.burst * elsewhere;
        self.gained_elsewhere = (self.gained_elsewhere + gained).min(max_gained);
        let rate = tolerance.fill_rate(&self.quota) * hub_share;
        self.bucket.fill(rate, self.burst(), now);
    }
}

/// Limits the requests of each customer to its quota. The hub charges each request before it is sent.
///
/// In any period it admits at most what a bucket held and what it has gained since. A share of the quotas is reserved
/// for gateways that may be admitting requests without the hub ([`super::LocalLimiter`]). Buckets start empty, because
/// what the previous hub admitted is not known; so all hubs and gateways together admit no more than a single bucket
/// would. Nor is a bucket filled up at once later on, which would admit a burst twice.
#[derive(Clone, Debug)]
pub struct Limiter {
    tolerance: Tolerance,
    hub_share: f64,
    customers: BTreeMap<id::Customer, CustomerBucket>,
}

impl Limiter {
    /// Creates a limiter with empty buckets that admits requests beyond a quota up to `tolerance`.
    ///
    /// The buckets gain nothing until [`Limiter::set_hub_share`] is called.
    #[must_use]
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            hub_share: 0.0,
            customers: BTreeMap::new(),
        }
    }

    /// Replaces the quotas; a bucket never holds more than its quota's burst.
    pub fn set_quotas<'a>(
        &mut self,
        quotas: impl Iterator<Item = (&'a id::Customer, Quota)>,
        now: Instant,
    ) {
        self.fill(now);
        let limited = quotas.filter(|(_, quota)| quota.is_limited());
        let next = limited.map(|(customer, quota)| {
            let known = self.customers.get(customer).copied();
            let mut state = known.unwrap_or(CustomerBucket::new(quota, now));
            state.quota = quota;
            state.bucket.cap(state.burst());
            (customer.clone(), state)
        });
        self.customers = next.collect();
    }

    /// Fills all buckets; correct only if nothing can have been admitted before `now`.
    pub fn fill_all(&mut self, now: Instant) {
        for state in self.customers.values_mut() {
            state.fill(&self.tolerance, self.hub_share, now);
            state.bucket = Bucket::new(state.burst(), now);
        }
    }

    /// Sets the share (0 to 1) of the quotas that is the hub's from `now` on; the rest is reserved for gateways.
    pub fn set_hub_share(&mut self, hub_share: f64, now: Instant) {
        if (hub_share - self.hub_share).abs() < f64::EPSILON {
            return;
        }
        // For the time since the last call the smaller share applies.
        self.hub_share = self.hub_share.min(hub_share);
        self.fill(now);
        self.hub_share = hub_share;
    }

    /// Charges a request; the charge must be committed or refunded later.
    ///
    /// # Errors
    ///
    /// Returns after how long the bucket holds enough if nothing else is charged. A request that exceeds by itself what
    /// is tolerated in a window is never admitted.
    pub fn acquire(&mut self, charge: &Charge, now: Instant) -> Result<(), Duration> {
        let Some(state) = self.customers.get_mut(&charge.customer) else {
            return Ok(());
        };
        state.fill(&self.tolerance, self.hub_share, now);
        if !self.tolerance.allows_cost(&state.quota, charge.cost) {
            return Err(MAX_RETRY_DELAY);
        }
        let cost = to_f64(charge.cost);
        // A request that costs more than the burst needs a full bucket.
        let missing = cost.min(state.quota.burst) - state.bucket.level();
        if missing > 0.0 {
            let rate = self.tolerance.fill_rate(&state.quota) * self.hub_share;
            let wait = Duration::try_from_secs_f64(missing / rate);
            return Err(wait.unwrap_or(MAX_RETRY_DELAY).min(MAX_RETRY_DELAY));
        }
        state.bucket.charge(cost);
        state.reserved += cost;
        Ok(())
    }

    /// Commits the charge of a request that is sent.
    pub fn commit(&mut self, charge: &Charge, now: Instant) {
        if let Some(state) = self.customers.get_mut(&charge.customer) {
            state.fill(&self.tolerance, self.hub_share, now);
            state.reserved = (state.reserved - to_f64(charge.cost)).max(0.0);
        }
    }

    /// Refunds the charge of a request that was certainly not sent.
    pub fn refund(&mut self, charge: &Charge, now: Instant) {
        if let Some(state) = self.customers.get_mut(&charge.customer) {
            state.fill(&self.tolerance, self.hub_share, now);
            state.reserved = (state.reserved - to_f64(charge.cost)).max(0.0);
            state.bucket.charge(-to_f64(charge.cost));
            state.bucket.cap(state.burst());
        }
    }

    /// Refunds the committed charge of a request that was certainly not sent after all.
    pub fn refund_unused(&mut self, charge: &Charge, now: Instant) {
        if let Some(state) = self.customers.get_mut(&charge.customer) {
            state.fill(&self.tolerance, self.hub_share, now);
            state.bucket.charge(-to_f64(charge.cost));
            state.bucket.cap(state.burst());
        }
    }

    fn fill(&mut self, now: Instant) {
        for state in self.customers.values_mut() {
            state.fill(&self.tolerance, self.hub_share, now);
        }
    }
}

//! A gateway's limiter for requests that the hub does not decide on.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::route::Quota;

use super::Bucket;
use super::Charge;
use super::Share;
use super::Tolerance;
use super::to_f64;

/// How long a gateway must be without a reply from the hub before it admits requests by its share of the quotas
/// themselves.
///
/// The hub reserves that share once [`SHARE_RESERVE_DELAY`] has passed without a sign that one of its replies has
/// arrived; the poll that it replied to was sent at most 0.6 s earlier. The rest is for clocks that differ.
pub const LOCAL_QUOTA_DELAY: Duration = Duration::from_millis(1_400);

/// How long the hub waits for a sign that one of its replies has arrived at a gateway before it reserves that
/// gateway's share: two rounds of polls, and the delay of a busy host.
pub const SHARE_RESERVE_DELAY: Duration = Duration::from_millis(700);

/// How long a share is valid at a gateway, from when the gateway sent the poll that the hub replied to with it. The hub
/// considers it expired after the same time.
///
/// If it is longer, a host that is gone for good takes more from the remaining ones; if it is shorter, a gateway that
/// is cut off rejects customers sooner.
pub const SHARE_LIFETIME: Duration = Duration::from_secs(10);

/// The two buckets of a customer.
#[derive(Clone, Copy, Debug)]
struct LocalBuckets {
    quota: Quota,
    /// The gateway's share of the tolerance, which the hub never uses.
    tolerance_bucket: Bucket,
    /// The gateway's share of the quota, while the hub reserves it.
    quota_bucket: Bucket,
}

impl LocalBuckets {
    /// Fills both buckets for a gateway that holds `share`; the quota's only if `quota_since` says since when.
    fn fill(
        &mut self,
        tolerance: &Tolerance,
        share: f64,
        quota_since: Option<Instant>,
        now: Instant,
    ) {
        let (rate, burst) = tolerance.local_reserve(&self.quota);
        self.tolerance_bucket.fill(rate * share, burst * share, now);
        if let Some(since) = quota_since {
            self.quota_bucket.start_at(since);
            let (rate, burst) = (self.quota.rate, self.quota.burst);
            self.quota_bucket.fill(rate * share, burst * share, now);
        }
    }
}

/// Limits what a gateway admits by itself when the hub does not decide on a request.
///
/// The gateway has a share of the tolerance at all times and, once the hub has been unresponsive for
/// [`LOCAL_QUOTA_DELAY`], a share of the quotas too. The shares of all gateways never add up to more than one
/// ([`crate::gateway::Shares`]). All buckets start empty, so that a restart admits nothing twice.
#[derive(Clone, Debug, Default)]
pub struct LocalLimiter {
    tolerance: Tolerance,
    share: Share,
    /// Since when the gateway has held a share without interruption.
    held_since: Instant,
    customers: BTreeMap<id::Customer, LocalBuckets>,
}

impl LocalLimiter {
    /// Creates a limiter without a share that admits requests beyond a quota up to `tolerance`.
    #[must_use]
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            ..Self::default()
        }
    }

    /// Sets the share (0 to 1) from the hub's reply to a poll that was sent at `polled_at`; the share of the
    /// quotas themselves goes back to the hub.
    pub fn set_share(&mut self, share: f64, polled_at: Instant, now: Instant) {
        let previous = self.get_share(now);
        if previous <= 0.0 {
            self.held_since = now;
            self.customers.clear();
        } else if (share - previous).abs() > f64::EPSILON {
            for buckets in self.customers.values_mut() {
                buckets.fill(&self.tolerance, previous, None, now);
            }
        }
        if self.quota_since(now).is_some() {
            for buckets in self.customers.values_mut() {
                buckets.quota_bucket = Bucket::new(0.0, now);
            }
        }
        self.share.set(share, polled_at);
    }

    /// Returns the share at `now`; 0 if the gateway has none or it has expired.
    #[must_use]
    pub fn get_share(&self, now: Instant) -> f64 {
        self.share.get(now)
    }

    /// Since when the gateway has admitted requests by its share of the quotas; `None` while the hub is responsive.
    fn quota_since(&self, now: Instant) -> Option<Instant> {
        let polled_at = self.share.get_polled_at()?;
        (now.since(polled_at) >= LOCAL_QUOTA_DELAY).then(|| polled_at + LOCAL_QUOTA_DELAY)
    }

    /// Returns by how much a quota may be exceeded.
    #[must_use]
    pub fn get_tolerance(&self) -> &Tolerance {
        &self.tolerance
    }

    /// Charges a request and returns whether it is admitted; a rejected one costs nothing.
    pub fn acquire(&mut self, charge: &Charge, quota: &Quota, now: Instant) -> bool {
        let share = self.get_share(now);
        if share <= 0.0 {
            return false;
        }
        let (quota_since, held_since) = (self.quota_since(now), self.held_since);
        let buckets = self.customers.entry(charge.customer.clone());
        let buckets = buckets.or_insert_with(|| LocalBuckets {
            quota: *quota,
            tolerance_bucket: Bucket::new(0.0, held_since),
            quota_bucket: Bucket::new(0.0, held_since),
        });
        buckets.quota = *quota;
        buckets.fill(&self.tolerance, share, quota_since, now);
        let cost = to_f64(charge.cost);
        let tolerated = buckets.tolerance_bucket.level().max(0.0);
        if tolerated + buckets.quota_bucket.level().max(0.0) < cost {
            return false;
        }
        buckets.tolerance_bucket.charge(cost.min(tolerated));
        buckets.quota_bucket.charge((cost - tolerated).max(0.0));
        true
    }
}

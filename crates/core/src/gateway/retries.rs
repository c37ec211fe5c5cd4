//! The retries that the hub grants.

use std::collections::BTreeMap;

use crate::clock::Instant;
use crate::id;
use crate::pool::RetryAllowance;
use crate::quota::Bucket;

/// Fraction of [`RetryAllowance::min_retries`] that the hub grants in a window. Half of it may be used at once.
const HUB_MIN_RETRIES_FRACTION: f64 = 0.2;

/// The retries that the hub grants, by service.
///
/// Load pattern: a thousand gateways, and a service whose attempts often fail. A thousandth of
/// the minimum number of retries is less than one, and what a gateway's own requests earn does not
/// cover the next failure. A gateway acquires the missing retry here together with the slot. Each
/// bucket starts empty and fills evenly, so that successive hubs grant no more than a single one
/// would.
#[derive(Clone, Debug)]
pub(super) struct Retries {
    allowance: Option<RetryAllowance>,
    started: Instant,
    buckets: BTreeMap<id::Service, Bucket>,
}

impl Retries {
    /// Creates the budget of a hub that starts at `started`. It grants nothing if `allowance` is
    /// not set.
    pub(super) fn new(allowance: Option<RetryAllowance>, started: Instant) -> Self {
        Self {
            allowance,
            started,
            buckets: BTreeMap::new(),
        }
    }

    /// Acquires a retry to a service if one is left.
    pub(super) fn acquire(&mut self, service: &id::Service, now: Instant) -> bool {
        if self.left(service, now) < 1.0 {
            return false;
        }
        if let Some(bucket) = self.buckets.get_mut(service) {
            bucket.charge(1.0);
        }
        true
    }

    /// Returns how many retries to a service are left.
    pub(super) fn left(&mut self, service: &id::Service, now: Instant) -> f64 {
        let Some(allowance) = self.allowance else {
            return 0.0;
        };
        let depth = allowance.min_retries * HUB_MIN_RETRIES_FRACTION / 2.0;
        let rate = depth / allowance.window.as_secs_f64();
        let bucket = self.buckets.entry(service.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(0.0, self.started));
        bucket.fill(rate, depth, now)
    }

    /// Releases a retry that was acquired and not used.
    pub(super) fn release(&mut self, service: &id::Service) {
        if let Some(bucket) = self.buckets.get_mut(service) {
            bucket.charge(-1.0);
        }
    }
}

//! What a gateway may let in by itself.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::route::Quota;

use super::Bucket;
use super::Charge;
use super::Share;
use super::Tolerance;
use super::amount;

/// After how long without the hub's word a gateway lets in by its part of the allowances themselves.
///
/// The hub sets that part aside once it has had no sign for [`SHARE_RESERVE_DELAY`] that a word of its has come; the
/// question for that word was sent 0.6 s before at the most. What is left is for clocks that differ.
pub const LOCAL_QUOTA_DELAY: Duration = Duration::from_millis(1_400);

/// After how long without a sign that a word of its has come the hub sets a gateway's part aside: two
/// rounds of questions, and a busy host's delay.
pub const SHARE_RESERVE_DELAY: Duration = Duration::from_millis(700);

/// For how long a gateway holds a part that the hub's word gave it; the hub counts it as gone after as
/// long.
///
/// Longer, and a host that is gone for good takes more from those that are left; shorter, and a gateway
/// that is cut off turns customers away sooner.
pub const SHARE_LIFETIME: Duration = Duration::from_secs(10);

/// A customer's two buckets.
#[derive(Clone, Copy, Debug)]
struct Own {
    allowance: Quota,
    /// Of the tolerance, which is never the hub's.
    spare: Bucket,
    /// Of the allowance, while the hub sets it aside.
    alone: Bucket,
}

impl Own {
    /// Fills both for a gateway that holds `part`; `alone` tells since when the other one is filled too.
    fn fill(&mut self, tolerance: &Tolerance, part: f64, alone: Option<Instant>, now: Instant) {
        let (rate, depth) = tolerance.local_reserve(&self.allowance);
        self.spare.fill(rate * part, depth * part, now);
        if let Some(since) = alone {
            self.alone.start_at(since);
            let (rate, depth) = (self.allowance.rate, self.allowance.burst);
            self.alone.fill(rate * part, depth * part, now);
        }
    }
}

/// What a gateway may let in by itself, where the hub gives no word on a request.
///
/// It has a part of the tolerance at all times, and once the hub has been silent for [`LOCAL_QUOTA_DELAY`], a part
/// of the allowances too. Parts of all gateways together are never more than one
/// ([`crate::gateway::Shares`]). All buckets begin empty, so that a start anew gives nobody more.
#[derive(Clone, Debug, Default)]
pub struct LocalLimiter {
    tolerance: Tolerance,
    part: Share,
    /// Since when it holds a part.
    since: Instant,
    own: BTreeMap<id::Customer, Own>,
}

impl LocalLimiter {
    /// A reserve without a part, where so much more than an allowance may be let in.
    #[must_use]
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            ..Self::default()
        }
    }

    /// Takes up the hub's answer to a question that was sent at `asked`: the gateway has this part (0 to
    /// 1) from now on, and what it held of the allowances themselves is the hub's again.
    pub fn set_share(&mut self, part: f64, asked: Instant, now: Instant) {
        let former = self.get_share(now);
        if former <= 0.0 {
            self.since = now;
            self.own.clear();
        } else if (part - former).abs() > f64::EPSILON {
            for own in self.own.values_mut() {
                own.fill(&self.tolerance, former, None, now);
            }
        }
        if self.alone(now).is_some() {
            for own in self.own.values_mut() {
                own.alone = Bucket::new(0.0, now);
            }
        }
        self.part.set(part, asked);
    }

    /// The part that it holds at `now`; 0 where it holds none any more.
    #[must_use]
    pub fn get_share(&self, now: Instant) -> f64 {
        self.part.get(now)
    }

    /// Since when it lets in by its part of the allowances themselves.
    fn alone(&self, now: Instant) -> Option<Instant> {
        let asked = self.part.get_requested_at()?;
        (now.since(asked) >= LOCAL_QUOTA_DELAY).then(|| asked + LOCAL_QUOTA_DELAY)
    }

    /// Whether a request is let in; if so it is counted.
    pub fn acquire(&mut self, charge: &Charge, allowance: &Quota, now: Instant) -> bool {
        let part = self.get_share(now);
        if part <= 0.0 {
            return false;
        }
        let (alone, since) = (self.alone(now), self.since);
        let own = self.own.entry(charge.customer.clone());
        let own = own.or_insert_with(|| Own {
            allowance: *allowance,
            spare: Bucket::new(0.0, since),
            alone: Bucket::new(0.0, since),
        });
        own.allowance = *allowance;
        own.fill(&self.tolerance, part, alone, now);
        let cost = amount(charge.cost);
        let spare = own.spare.level().max(0.0);
        if spare + own.alone.level().max(0.0) < cost {
            return false;
        }
        own.spare.charge(cost.min(spare));
        own.alone.charge((cost - spare).max(0.0));
        true
    }
}

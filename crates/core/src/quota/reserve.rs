//! What a gateway may let in by itself.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::route::Allowance;

use super::Bucket;
use super::Charge;
use super::Tolerance;
use super::amount;

/// After how long without the hub's word a gateway lets in by its part of the allowances themselves.
///
/// The hub sets that part aside once it has had no sign for 1.2 s that a word of its has come; the
/// question for that word was sent 0.6 s before at the most. What is left is for clocks that differ.
pub const ALONE: Duration = Duration::from_secs(2);

/// For how long a gateway holds a part that the hub's word gave it; the hub counts it as gone after as
/// long.
///
/// Longer, and a host that is gone for good takes more from those that are left; shorter, and a gateway
/// that is cut off turns customers away sooner.
pub const HELD: Duration = Duration::from_secs(10);

/// A customer's two buckets.
#[derive(Clone, Copy, Debug)]
struct Own {
    /// Of the tolerance, which is never the hub's.
    spare: Bucket,
    /// Of the allowance, while the hub sets it aside.
    alone: Bucket,
}

/// What a gateway may let in by itself, where the hub gives no word on a request.
///
/// It has a part of the tolerance at all times, and once the hub has been silent for [`ALONE`], a part
/// of the allowances too. Parts of all gateways together are never more than one
/// ([`crate::gateway::Parts`]). All buckets begin empty, so that a start anew gives nobody more.
#[derive(Clone, Debug, Default)]
pub struct Reserve {
    tolerance: Tolerance,
    part: f64,
    /// The part that it had when the buckets were last filled.
    filled: f64,
    /// When the question was sent that the hub answered last.
    asked: Option<Instant>,
    own: BTreeMap<id::Customer, Own>,
}

impl Reserve {
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
    pub fn heard(&mut self, part: f64, asked: Instant, now: Instant) {
        self.part = part;
        self.asked = Some(asked);
        for own in self.own.values_mut() {
            own.alone = Bucket::new(0.0, now);
        }
    }

    /// The part that it holds at `now`; 0 where it holds none any more.
    #[must_use]
    pub fn get_part(&self, now: Instant) -> f64 {
        let held = self.asked.is_some_and(|asked| now.since(asked) < HELD);
        if held { self.part } else { 0.0 }
    }

    /// Fills the buckets of the customers that a table limits; to be called several times a second.
    pub fn fill<'a>(
        &mut self,
        accounts: impl Iterator<Item = (&'a id::Customer, Allowance)>,
        now: Instant,
    ) {
        let part = self.get_part(now);
        // A part that has grown meanwhile was not held for all of the time.
        let lately = part.min(std::mem::replace(&mut self.filled, part));
        let alone = self.asked.is_some_and(|asked| now.since(asked) >= ALONE);
        let limited = accounts.filter(|(_, allowance)| allowance.is_limited());
        let next = limited.map(|(customer, allowance)| {
            let mut own = self.own.get(customer).copied().unwrap_or(Own {
                spare: Bucket::new(0.0, now),
                alone: Bucket::new(0.0, now),
            });
            let (rate, depth) = self.tolerance.spare(&allowance);
            own.spare.fill(rate * lately, depth * part, now);
            let of_alone = |whole: f64| if alone { whole } else { 0.0 };
            let (rate, depth) = (allowance.rate * lately, allowance.burst * part);
            own.alone.fill(of_alone(rate), of_alone(depth), now);
            (customer.clone(), own)
        });
        self.own = next.collect();
    }

    /// Whether a request is let in; if so it is counted. A customer without a limit needs not ask.
    pub fn draw(&mut self, charge: &Charge, now: Instant) -> bool {
        if self.get_part(now) <= 0.0 {
            return false;
        }
        let Some(own) = self.own.get_mut(&charge.customer) else {
            return false;
        };
        let cost = amount(charge.cost);
        let spare = own.spare.level().max(0.0);
        if spare + own.alone.level().max(0.0) < cost {
            return false;
        }
        own.spare.draw(cost.min(spare));
        own.alone.draw((cost - spare).max(0.0));
        true
    }
}

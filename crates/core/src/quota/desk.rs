//! The desk: one bucket a customer, kept where all entries report.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;
use crate::id;
use crate::route::Allowance;

use super::Bucket;
use super::Tolerance;

/// What is left of a customer's allowance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Level {
    /// The customer.
    pub customer: id::Customer,
    /// What its bucket holds; below zero where too much was let in.
    pub left: f64,
}

/// What is kept for one customer.
#[derive(Clone, Copy, Debug)]
struct Held {
    allowance: Allowance,
    bucket: Bucket,
}

/// One bucket a customer.
///
/// It begins with each leader. What an entry last heard of the former desk lowers the level, so
/// that a change of the leader gives nobody a second burst.
#[derive(Clone, Debug, Default)]
pub struct Desk {
    tolerance: Tolerance,
    held: BTreeMap<id::Customer, Held>,
}

impl Desk {
    /// A desk where so much more than an allowance may be let in.
    #[must_use]
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            held: BTreeMap::new(),
        }
    }

    /// Takes up the allowances of a table; a bucket never holds more than its burst.
    pub fn adopt<'a>(
        &mut self,
        accounts: impl Iterator<Item = (&'a id::Customer, Allowance)>,
        now: Instant,
    ) {
        let mut next = BTreeMap::new();
        for (customer, allowance) in accounts.filter(|(_, allowance)| allowance.is_limited()) {
            let depth = self.tolerance.depth(&allowance);
            let mut held = self.held.get(customer).copied().unwrap_or(Held {
                allowance,
                bucket: Bucket::new(depth, now),
            });
            let former = self.tolerance.depth(&held.allowance);
            held.bucket.fill(held.allowance.rate, former, now);
            held.bucket.lower(depth);
            held.allowance = allowance;
            next.insert(customer.clone(), held);
        }
        self.held = next;
    }

    /// Fills all buckets; `silent` is the part of the entries (0 to 1) that may be spending their
    /// own shares unheard.
    pub fn fill(&mut self, silent: f64, now: Instant) {
        for held in self.held.values_mut() {
            let rate = held.allowance.rate * (1.0 - silent);
            let depth = self.tolerance.depth(&held.allowance);
            held.bucket.fill(rate, depth, now);
        }
    }

    /// Takes note that an entry let in `amount`.
    pub fn spent(&mut self, customer: &id::Customer, amount: u64) {
        if let Some(held) = self.held.get_mut(customer) {
            #[allow(clippy::cast_precision_loss)]
            held.bucket.draw(amount as f64);
        }
    }

    /// Takes note of what an entry had last heard from another desk.
    pub fn heard(&mut self, level: &Level) {
        if let Some(held) = self.held.get_mut(&level.customer) {
            held.bucket.lower(level.left);
        }
    }

    /// What is left of each.
    #[must_use]
    pub fn levels(&self) -> Vec<Level> {
        let held = self.held.iter();
        held.map(|(customer, held)| Level {
            customer: customer.clone(),
            left: held.bucket.level(),
        })
        .collect()
    }
}

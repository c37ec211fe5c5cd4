//! The desk: one bucket a customer, kept where all entries report.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;
use crate::id;
use crate::route::Allowance;

use super::Bucket;
use super::Tolerance;
use super::Window;
use super::amount;

/// The time in which what was let in fades to a third, in seconds: some rounds of questions.
const FADES: f64 = 0.4;

/// What is left of a customer's allowance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Level {
    /// The customer.
    pub customer: id::Customer,
    /// What its bucket holds; below zero where too much was let in.
    pub left: f64,
    /// How much all gateways together have lately let in, a second.
    pub pace: f64,
}

/// What is kept for one customer.
#[derive(Clone, Debug)]
struct Held {
    allowance: Allowance,
    bucket: Bucket,
    /// What was let in within the tolerance's window.
    window: Window,
    /// What was let in, fading away; divided by [`FADES`] it is a pace.
    lately: f64,
    faded: Instant,
}

/// One bucket a customer.
///
/// It begins with each leader. What an entry last heard of the former desk lowers the level, so
/// that a change of the leader gives nobody a second burst.
#[derive(Clone, Debug, Default)]
pub struct Desk {
    tolerance: Tolerance,
    began: Instant,
    held: BTreeMap<id::Customer, Held>,
}

impl Desk {
    /// A desk that begins at `now`, where so much more than an allowance may be let in.
    #[must_use]
    pub fn new(tolerance: Tolerance, now: Instant) -> Self {
        Self {
            tolerance,
            began: now,
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
            let mut held = self.held.get(customer).cloned().unwrap_or_else(|| Held {
                allowance,
                bucket: Bucket::new(allowance.burst, now),
                window: Window::default(),
                lately: 0.0,
                faded: now,
            });
            let former = held.allowance;
            held.bucket.fill(former.rate, former.burst, now);
            held.bucket.lower(allowance.burst);
            // What was let in under a higher limit is no debt under a lower one.
            let (new, old) = (
                self.tolerance.most(&allowance),
                self.tolerance.most(&former),
            );
            if new < old {
                held.window.scale(new / old);
            }
            held.allowance = allowance;
            next.insert(customer.clone(), held);
        }
        self.held = next;
    }

    /// Fills all buckets; `silent` is the part of the entries (0 to 1) that may be spending their
    /// own shares unheard.
    pub fn fill(&mut self, silent: f64, now: Instant) {
        let tolerance = self.tolerance;
        // What was let in before it began is not known: the tolerance may be used up.
        let knows = now.since(self.began) >= tolerance.window;
        for held in self.held.values_mut() {
            let allowance = held.allowance;
            let rate = if knows {
                tolerance.rate(&allowance)
            } else {
                allowance.rate
            };
            let heard = 1.0 - silent;
            held.bucket.fill(rate * heard, allowance.burst, now);
            if tolerance.window > Duration::ZERO {
                let used = held.window.sum(tolerance.window, now);
                let left = tolerance.most(&allowance) * heard - used;
                held.bucket.lower(left);
            }
            let time = now.since(held.faded).as_secs_f64();
            held.lately *= (-time / FADES).exp();
            held.faded = now;
        }
    }

    /// Takes note that an entry let in `count` of an allowance's unit, lately.
    pub fn spent(&mut self, customer: &id::Customer, count: u64, now: Instant) {
        self.spent_late(customer, count, 1.0, now);
    }

    /// Takes note of what an entry let in, of which only the part `due` (0 to 1) is to be drawn: the
    /// rest was set aside when [`Desk::fill`] was told that it is silent.
    ///
    /// What was set aside is no debt. In the window all of it counts, as if let in now.
    pub fn spent_late(&mut self, customer: &id::Customer, count: u64, due: f64, now: Instant) {
        let length = self.tolerance.window;
        if let Some(held) = self.held.get_mut(customer) {
            let amount = amount(count);
            held.bucket.draw(amount * due);
            held.window.add(amount, length, now);
            held.lately += amount * due;
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
            pace: held.lately / FADES,
        })
        .collect()
    }
}

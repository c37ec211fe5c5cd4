//! The last answers to requests with each part of a prompt.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::clock::Instant;
use crate::id;

use super::Part;
use super::Software;

/// How many parts are remembered, at some 150 bytes each. When there are more, the customer with the most loses its oldest
/// one.
const MAX_ANSWERED_PARTS: usize = 2_048;

/// When the last requests with each part were answered, and by which software.
///
/// A part may come under suspicion at any time; its answers of the last seconds are evidence for it.
#[derive(Clone, Debug, Default)]
pub(super) struct Answers {
    answered: BTreeMap<Part, BTreeMap<Software, Instant>>,
    /// The parts by the customer that was first answered, in that order.
    by_customer: BTreeMap<Option<id::Customer>, VecDeque<Part>>,
}

impl Answers {
    /// Records that a server began to answer a request with these parts at `began`, and did not crash.
    pub(super) fn record(
        &mut self,
        customer: Option<&id::Customer>,
        parts: &[Part],
        software: &Software,
        began: Instant,
    ) {
        for part in parts {
            if !self.answered.contains_key(part) {
                self.make_room();
                let parts = self.by_customer.entry(customer.cloned()).or_default();
                parts.push_back(*part);
            }
            let answered = self.answered.entry(*part).or_default();
            let last = answered.entry(software.clone()).or_insert(began);
            *last = began.max(*last);
        }
    }

    /// Returns when requests with a part were last answered.
    pub(super) fn get(&self, part: Part) -> impl Iterator<Item = (&Software, Instant)> {
        let answered = self.answered.get(&part).into_iter().flatten();
        answered.map(|(software, began)| (software, *began))
    }

    fn make_room(&mut self) {
        if self.answered.len() < MAX_ANSWERED_PARTS {
            return;
        }
        let customers = self.by_customer.iter_mut();
        if let Some((_, parts)) = customers.max_by_key(|(_, parts)| parts.len())
            && let Some(oldest) = parts.pop_front()
        {
            self.answered.remove(&oldest);
        }
        self.by_customer.retain(|_, parts| !parts.is_empty());
    }
}

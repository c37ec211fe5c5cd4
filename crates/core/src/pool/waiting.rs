//! Who waits, in order: by rank, then by arrival.

use std::collections::BTreeMap;
use std::ops::Bound;

use crate::clock::Instant;
use crate::route::Rank;

use super::Ask;
use super::Ticket;

/// A place in line: by rank, then by arrival.
pub(super) type Place = (Rank, Instant, Ticket);

/// Requests that wait.
#[derive(Clone, Debug, Default)]
pub(super) struct Waiting {
    order: BTreeMap<Place, Ask>,
}

impl Waiting {
    pub(super) fn add(&mut self, ticket: Ticket, ask: Ask) {
        self.order.insert((ask.rank, ask.arrived, ticket), ask);
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> bool {
        let key = self.order.keys().find(|(_, _, other)| *other == ticket);
        let Some(key) = key.copied() else {
            return false;
        };
        self.order.remove(&key).is_some()
    }

    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    /// The one that is last: of the lowest rank, and there the newest.
    pub(super) fn last(&self) -> Option<Ticket> {
        self.order
            .last_key_value()
            .map(|((_, _, ticket), _)| *ticket)
    }

    /// The first one, or the next after a place in line.
    pub(super) fn after(&self, place: Option<Place>) -> Option<(Place, &Ask)> {
        let from = place.map_or(Bound::Unbounded, Bound::Excluded);
        let next = self.order.range((from, Bound::Unbounded)).next();
        next.map(|(place, ask)| (*place, ask))
    }
}

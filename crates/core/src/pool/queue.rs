//! Who waits, in order: by rank, those who can still be answered in time, then by arrival.

use std::collections::BTreeMap;
use std::ops::Bound;

use crate::clock::Instant;
use crate::route::Rank;

use super::Request;
use super::Ticket;

/// A place in line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    pub(super) rank: Rank,
    /// Whether its answer would begin too late by now.
    pub(super) late: bool,
    pub(super) arrived: Instant,
    pub(super) ticket: Ticket,
}

impl Position {
    /// Whether a request of `rank` that arrives now goes before it.
    pub(super) fn goes_after(&self, rank: Rank) -> bool {
        rank < self.rank || (self.late && rank == self.rank)
    }
}

/// Requests that wait.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    order: BTreeMap<Position, Request>,
}

impl Queue {
    pub(super) fn add(&mut self, ticket: Ticket, ask: Request, now: Instant) {
        let place = Position {
            rank: ask.rank,
            late: ask.send_by <= now,
            arrived: ask.arrived,
            ticket,
        };
        self.order.insert(place, ask);
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> bool {
        let mut places = self.order.keys();
        let Some(place) = places.find(|place| place.ticket == ticket).copied() else {
            return false;
        };
        self.order.remove(&place).is_some()
    }

    pub(super) fn get_mut(&mut self, ticket: Ticket) -> Option<&mut Request> {
        let mut asks = self.order.iter_mut();
        let ask = asks.find(|(place, _)| place.ticket == ticket);
        ask.map(|(_, ask)| ask)
    }

    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    /// The one that is last: of the lowest rank, and there the newest.
    pub(super) fn last(&self) -> Option<Ticket> {
        self.order.last_key_value().map(|(place, _)| place.ticket)
    }

    /// The first one, or the next after a place in line.
    pub(super) fn after(&self, place: Option<Position>) -> Option<(Position, &Request)> {
        let from = place.map_or(Bound::Unbounded, Bound::Excluded);
        let next = self.order.range((from, Bound::Unbounded)).next();
        next.map(|(place, ask)| (*place, ask))
    }

    /// All of them, in order.
    pub(super) fn all(&self) -> impl Iterator<Item = (&Position, &Request)> {
        self.order.iter()
    }

    /// Puts those whose answers would begin too late by now behind the others of their rank.
    pub(super) fn age(&mut self, now: Instant) {
        let late = self.order.iter();
        let late = late.filter(|(place, ask)| !place.late && ask.send_by <= now);
        let late: Vec<_> = late.map(|(place, _)| *place).collect();
        for place in late {
            if let Some(ask) = self.order.remove(&place) {
                let place = Position {
                    late: true,
                    ..place
                };
                self.order.insert(place, ask);
            }
        }
    }
}

//! The queue of a pool: ordered by rank, within a rank requests that can still be answered in time first, then by
//! arrival.

use std::collections::BTreeMap;
use std::ops::Bound;

use crate::clock::Instant;
use crate::route::Rank;

use super::Request;
use super::Ticket;

/// A request's position in the queue; its order is that of the fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    pub(super) rank: Rank,
    /// Whether it is too late for the response to begin within the latency objective.
    pub(super) late: bool,
    pub(super) arrived: Instant,
    pub(super) ticket: Ticket,
}

impl Position {
    /// Whether a request of `rank` that arrives now goes before it.
    pub(super) fn yields_to(&self, rank: Rank) -> bool {
        rank < self.rank || (self.late && rank == self.rank)
    }
}

/// The queued requests in order.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    requests: BTreeMap<Position, Request>,
}

impl Queue {
    pub(super) fn add(&mut self, ticket: Ticket, request: Request, now: Instant) {
        let position = Position {
            rank: request.rank,
            late: request.send_by <= now,
            arrived: request.arrived,
            ticket,
        };
        self.requests.insert(position, request);
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> bool {
        let mut positions = self.requests.keys();
        let Some(position) = positions
            .find(|position| position.ticket == ticket)
            .copied()
        else {
            return false;
        };
        self.requests.remove(&position).is_some()
    }

    pub(super) fn get_mut(&mut self, ticket: Ticket) -> Option<&mut Request> {
        let mut requests = self.requests.iter_mut();
        let entry = requests.find(|(position, _)| position.ticket == ticket);
        entry.map(|(_, request)| request)
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// The last request: the newest of the lowest rank.
    pub(super) fn last(&self) -> Option<Ticket> {
        self.requests
            .last_key_value()
            .map(|(position, _)| position.ticket)
    }

    /// The request after `position`, or the first one.
    pub(super) fn next_after(&self, position: Option<Position>) -> Option<(Position, &Request)> {
        let from = position.map_or(Bound::Unbounded, Bound::Excluded);
        let next = self.requests.range((from, Bound::Unbounded)).next();
        next.map(|(position, request)| (*position, request))
    }

    /// All requests in order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&Position, &Request)> {
        self.requests.iter()
    }

    /// Moves requests that have become late behind the others of their rank.
    pub(super) fn demote_late(&mut self, now: Instant) {
        let late = self.requests.iter();
        let late = late.filter(|(position, request)| !position.late && request.send_by <= now);
        let late: Vec<_> = late.map(|(position, _)| *position).collect();
        for position in late {
            if let Some(request) = self.requests.remove(&position) {
                let position = Position {
                    late: true,
                    ..position
                };
                self.requests.insert(position, request);
            }
        }
    }
}

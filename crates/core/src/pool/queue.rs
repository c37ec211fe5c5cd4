//! The queue of a pool: ordered by rank, within a rank requests that can still be answered in time first, then by the
//! shares of customers if they have any, then by arrival.

use std::collections::BTreeMap;

use crate::clock::Instant;
use crate::route::Rank;

use super::Request;
use super::Ticket;
use super::fair_order::Order;
use super::fair_queue::AccountId;
use super::fair_queue::Accounts;
use super::fair_wait::FairWait;
use super::forecast::Rates;

/// A request's position in the queue; its order is that of the fields. Among accounts, the [`Order`] decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    pub(super) rank: Rank,
    /// Whether it is too late for the response to begin within the latency objective.
    pub(super) late: bool,
    pub(super) account: AccountId,
    pub(super) arrived: Instant,
    pub(super) ticket: Ticket,
}

impl Position {
    /// Whether a request of `rank` that arrives now goes before it.
    pub(super) fn yields_to(&self, rank: Rank) -> bool {
        rank < self.rank || (self.late && rank == self.rank)
    }

    /// Whether only arrival decides between it and `other`.
    pub(super) fn is_beside(&self, other: &Self) -> bool {
        (self.rank, self.late, self.account) == (other.rank, other.late, other.account)
    }
}

/// The queued requests in order.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    requests: BTreeMap<Position, Request>,
    /// What customers have been served.
    pub(super) accounts: Accounts,
}

impl Queue {
    /// An empty queue in which customers of the same rank have equal shares if it `is_fair`.
    pub(super) fn new(is_fair: bool) -> Self {
        Self {
            requests: BTreeMap::new(),
            accounts: Accounts::new(is_fair),
        }
    }

    /// Sets whether customers of the same rank have equal shares. Queued requests stay.
    pub(super) fn set_fair(&mut self, is_fair: bool) {
        if is_fair == self.accounts.is_enabled() {
            return;
        }
        let requests = std::mem::replace(self, Self::new(is_fair)).requests;
        for (position, request) in requests {
            self.insert(position, request, position.arrived);
        }
    }

    pub(super) fn add(&mut self, ticket: Ticket, request: Request, now: Instant) {
        let position = Position {
            rank: request.rank,
            late: request.send_by <= now,
            account: AccountId::default(),
            arrived: request.arrived,
            ticket,
        };
        let account = self.insert(position, request, now);
        self.accounts.record_arrival(account, now);
    }

    /// Inserts a request at its position in the account of its customer, which it returns.
    fn insert(&mut self, position: Position, request: Request, now: Instant) -> AccountId {
        let account = self.accounts.open(&request, now);
        let position = Position {
            account,
            ..position
        };
        // Requests that can no longer begin in time give their customer no credit for one that can.
        let resumes = self.first_beside(&position).is_none();
        self.accounts.add_queued(account, resumes, now);
        self.requests.insert(position, request);
        account
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> bool {
        let mut positions = self.requests.keys();
        let position = positions.find(|position| position.ticket == ticket);
        position
            .copied()
            .is_some_and(|position| self.take(&position))
    }

    fn take(&mut self, position: &Position) -> bool {
        self.accounts.remove_queued(position.account);
        self.requests.remove(position).is_some()
    }

    /// Removes a request that is assigned to a server, and charges its customer.
    pub(super) fn serve(&mut self, position: &Position, now: Instant) {
        self.take(position);
        self.accounts.charge(position.account, position.ticket, now);
    }

    pub(super) fn get(&self, position: &Position) -> Option<&Request> {
        self.requests.get(position)
    }

    pub(super) fn get_mut(&mut self, ticket: Ticket) -> Option<&mut Request> {
        let mut requests = self.requests.iter_mut();
        let entry = requests.find(|(position, _)| position.ticket == ticket);
        entry.map(|(_, request)| request)
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// The request to drop first: of the lowest rank, there of the customer with the most queued requests, and of these
    /// the last one.
    pub(super) fn first_dropped(&self) -> Option<Ticket> {
        let (last, _) = self.requests.last_key_value()?;
        if !self.accounts.is_enabled() {
            return Some(last.ticket);
        }
        let lowest = self.requests.keys().rev();
        let lowest = lowest.take_while(|position| position.rank == last.rank);
        let dropped = lowest.max_by_key(|position| {
            let queued = self.accounts.queued(position.account);
            (queued, position.late, position.arrived, position.ticket)
        });
        dropped.map(|position| position.ticket)
    }

    /// The first request that only arrival decides on with `position`.
    fn first_beside(&self, position: &Position) -> Option<Position> {
        let first = Position {
            arrived: Instant::default(),
            ticket: Ticket(0),
            ..*position
        };
        let (found, _) = self.requests.range(first..).next()?;
        found.is_beside(position).then_some(*found)
    }

    /// Passes through the positions of all requests in the order of service.
    pub(super) fn order(&self) -> Order<()> {
        let positions = self.requests.keys();
        Order::new(positions.map(|position| (*position, ())), &self.accounts)
    }

    /// Passes through all requests in the order of service.
    pub(super) fn requests_in_order(&self) -> Order<&Request> {
        let requests = self.requests.iter();
        let requests = requests.map(|(position, request)| (*position, request));
        Order::new(requests, &self.accounts)
    }

    /// Predicts the waits of requests that are passed in the order of service.
    pub(super) fn waits<'a>(&'a self, rates: &'a Rates, now: Instant) -> FairWait<'a> {
        FairWait::new(&self.accounts, rates, now)
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

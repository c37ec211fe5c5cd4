//! The order of queued requests: by rank, lateness, and within these by the shares of customers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::route::Rank;

use super::fair_queue::AccountId;
use super::fair_queue::Accounts;
use super::queue::Position;

/// The first request of a customer in its rank and lateness that was not passed yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Head {
    position: Position,
    start: u64,
    /// The index of its position.
    index: usize,
    /// The index of its share.
    share: usize,
}

impl Head {
    /// Its place in the order of service.
    fn key(&self) -> impl Ord {
        let Position {
            rank,
            late,
            arrived,
            ticket,
            ..
        } = self.position;
        (rank, late, self.start, arrived, ticket)
    }
}

impl Ord for Head {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

impl PartialOrd for Head {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// The share of an account with queued requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    pub(super) account: AccountId,
    rank: Rank,
    /// The virtual time at which its next request starts.
    start: u64,
    /// What each of its requests is expected to cost.
    pub(super) cost: u64,
    /// How many of its requests can begin in time and were not passed yet.
    pub(super) on_time: usize,
    /// How many of its requests were served.
    pub(super) served: u32,
}

impl Share {
    fn new(position: &Position, accounts: &Accounts) -> Self {
        let account = position.account;
        Self {
            account,
            rank: position.rank,
            start: accounts.start(account),
            cost: accounts.cost(account),
            on_time: 0,
            served: 0,
        }
    }
}

/// Passes through queued requests, or what is known of each, in the order of service.
#[derive(Clone, Debug)]
pub(super) struct Order<T> {
    /// All requests by position: those of one rank, lateness and customer follow each other.
    requests: Vec<(Position, T)>,
    /// How many were passed, if customers have no shares and the order is that of the positions.
    passed: Option<usize>,
    heads: BinaryHeap<Reverse<Head>>,
    shares: Vec<Share>,
    /// The last request that was passed.
    last: Option<Head>,
}

impl<T> Default for Order<T> {
    fn default() -> Self {
        Self {
            requests: Vec::new(),
            passed: None,
            heads: BinaryHeap::new(),
            shares: Vec::new(),
            last: None,
        }
    }
}

impl<T: Copy> Order<T> {
    /// Starts before the first of `requests`, which are in the order of their positions.
    pub(super) fn new(requests: impl Iterator<Item = (Position, T)>, accounts: &Accounts) -> Self {
        let mut order = Self {
            requests: requests.collect(),
            ..Self::default()
        };
        if accounts.is_enabled() {
            order.set_heads(accounts);
        } else {
            order.passed = Some(0);
        }
        order
    }

    /// Finds the first request of each customer in each rank and lateness.
    fn set_heads(&mut self, accounts: &Accounts) {
        let mut indices = vec![None; accounts.id_limit()];
        let mut heads = Vec::new();
        let mut former: Option<(Position, usize)> = None;
        for (index, (position, _)) in self.requests.iter().enumerate() {
            let beside = former.filter(|(former, _)| former.is_beside(position));
            let share = beside.map_or_else(
                || {
                    *indices[position.account.index()].get_or_insert_with(|| {
                        self.shares.push(Share::new(position, accounts));
                        self.shares.len() - 1
                    })
                },
                |(_, share)| share,
            );
            if beside.is_none() {
                let head = Head {
                    position: *position,
                    start: self.shares[share].start,
                    index,
                    share,
                };
                heads.push(Reverse(head));
            }
            self.shares[share].on_time += usize::from(!position.late);
            former = Some((*position, share));
        }
        self.heads = BinaryHeap::from(heads);
    }

    /// Passes the next request. Unless it is [served](Self::serve), its customer's next one takes its place.
    pub(super) fn next(&mut self) -> Option<(Position, T)> {
        if let Some(passed) = &mut self.passed {
            *passed += 1;
            return self.requests.get(*passed - 1).copied();
        }
        let head = self.next_head()?;
        self.shares[head.share].on_time -= usize::from(!head.position.late);
        self.last = Some(head);
        self.requests.get(head.index).copied()
    }

    fn next_head(&mut self) -> Option<Head> {
        let mut waiting = self.last.take().and_then(|last| self.following(&last));
        loop {
            let head = self.first_of(waiting)?;
            let start = self.shares[head.share].start;
            if head.start == start {
                return Some(head);
            }
            // The customer's requests that are not late were served before.
            waiting = Some(Head { start, ..head });
        }
    }

    /// Takes the first of the heads and `other`.
    fn first_of(&mut self, other: Option<Head>) -> Option<Head> {
        let Some(other) = other else {
            return self.heads.pop().map(|Reverse(head)| head);
        };
        match self.heads.peek_mut() {
            Some(mut first) if first.0 < other => {
                let Reverse(first) = std::mem::replace(&mut *first, Reverse(other));
                Some(first)
            }
            _ => Some(other),
        }
    }

    /// The request after `head` of the same rank, lateness and customer.
    fn following(&self, head: &Head) -> Option<Head> {
        let index = head.index + 1;
        let (position, _) = self.requests.get(index)?;
        position.is_beside(&head.position).then(|| Head {
            position: *position,
            start: self.shares[head.share].start,
            index,
            share: head.share,
        })
    }

    /// Counts the request that was passed last as served: others of its customer start later.
    pub(super) fn serve(&mut self) {
        if let Some(last) = self.last {
            let share = &mut self.shares[last.share];
            share.start = share.start.saturating_add(share.cost);
            share.served += 1;
        }
    }

    /// The share of the request that was passed last.
    pub(super) fn last_share(&self) -> Option<&Share> {
        self.last.map(|last| &self.shares[last.share])
    }

    /// The shares of the customers with queued requests of a rank.
    pub(super) fn shares_in(&self, rank: Rank) -> impl Iterator<Item = &Share> {
        let shares = self.shares.iter();
        shares.filter(move |share| share.rank == rank)
    }
}

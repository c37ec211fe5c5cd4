//! The queue of one service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::clock::Instant;
use crate::code::Code;
use crate::code::Refusal;
use crate::fleet::Fleet;
use crate::fleet::Pick;
use crate::fleet::TimeEstimate;
use crate::id;
use crate::unit::Tokens;

use super::Action;
use super::Report;
use super::Request;
use super::Ticket;
use super::customer_queue::WaitingRequest;
use super::dispatch::work_of;
use super::position::Position;
use super::position::Running;
use super::response_length::ResponseLength;
use super::retry_budget::RetryBudget;
use super::tier_queue::TierQueue;

/// The waiting and the running work of one service, at its owner.
///
/// An ask or a report costs time logarithmic in what waits and linear in the classes of servers;
/// memory is linear in what waits and runs, and bounded by the limit on work and the customers'
/// limits on waiting requests.
#[derive(Clone, Debug)]
pub struct Queue {
    pub(super) fleet: Fleet,
    pub(super) work_limit: Tokens,
    pub(super) tiers: BTreeMap<u8, TierQueue>,
    pub(super) positions: HashMap<Ticket, Position>,
    pub(super) deadlines: BTreeSet<(Instant, Ticket)>,
    pub(super) running: HashMap<Ticket, Running>,
    pub(super) lengths: HashMap<id::Customer, ResponseLength>,
    pub(super) arrivals: u64,
    pub(super) grants_held: bool,
    pub(super) retry_budget: RetryBudget,
    pub(super) actions: Vec<Action>,
}

/// # Events
impl Queue {
    /// An empty queue over `fleet` in which work of `work_limit` tokens may wait.
    #[must_use]
    pub fn new(fleet: Fleet, work_limit: Tokens) -> Self {
        Self {
            fleet,
            work_limit,
            tiers: BTreeMap::new(),
            positions: HashMap::new(),
            deadlines: BTreeSet::new(),
            running: HashMap::new(),
            lengths: HashMap::new(),
            arrivals: 0,
            grants_held: false,
            retry_budget: RetryBudget::default(),
            actions: Vec::new(),
        }
    }

    /// A request wants a server; the same ticket again is the same request.
    pub fn submit(&mut self, ask: Request, now: Instant) {
        if self.positions.contains_key(&ask.ticket) {
            return;
        }
        if let Some(running) = self.running.get(&ask.ticket) {
            let pick = running.pick.clone();
            let ticket = ask.ticket;
            self.actions.push(Action::Grant { ticket, pick });
            return;
        }
        if let Err(refusal) = self.admit(&ask, now) {
            let ticket = ask.ticket;
            self.actions.push(Action::Refuse { ticket, refusal });
            return;
        }
        if !self.retry_budget.take(ask.rank, ask.attempt) {
            let why = "no further try: too many requests of the tier are being tried again";
            let refusal = Refusal::new(Code::Refused, why);
            let ticket = ask.ticket;
            self.actions.push(Action::Refuse { ticket, refusal });
            return;
        }
        let length = self.lengths.entry(ask.customer.clone()).or_default();
        let expect = length.expect(ask.max_output);
        self.wait(WaitingRequest { ask, expect });
        self.make_room();
        self.pump(now);
    }

    /// A request that runs already, told by its entry to a new owner.
    pub fn restore_running(&mut self, ask: Request, server: &id::Server, now: Instant) {
        let Some(index) = self.fleet.index_of(server) else {
            return;
        };
        let length = self.lengths.entry(ask.customer.clone()).or_default();
        let work = work_of(&ask, length.expect(ask.max_output));
        let pick = Pick {
            server_index: index,
            name: server.clone(),
            cached: ask.prompt,
            estimate: TimeEstimate::default(),
        };
        self.remove(&ask.ticket);
        if self.running.contains_key(&ask.ticket) {
            return;
        }
        self.run(ask.ticket.clone(), ask.customer, pick, work, now);
        if let Some(running) = self.running.get_mut(&ask.ticket) {
            running.first = Some(now);
        }
    }

    /// What an entry reports of a request that was granted.
    pub fn report(&mut self, ticket: &Ticket, report: Report, now: Instant) {
        match report {
            Report::FirstToken => self.on_first(ticket, now),
            Report::Tokens(tokens) => self.on_tokens(ticket, tokens, now),
            Report::Ended { output, cached } => self.on_ended(ticket, output, cached, now),
        }
        self.pump(now);
    }

    /// The caller has gone while its request waited; nothing is told to anyone.
    pub fn cancel(&mut self, ticket: &Ticket, now: Instant) {
        self.remove(ticket);
        if self.running.contains_key(ticket) {
            self.on_ended(ticket, Tokens(0), None, now);
        }
        self.pump(now);
    }

    /// An entry is gone, and with it all that it asked for.
    pub fn remove_entry(&mut self, host: &id::Host, now: Instant) {
        let waiting = self.positions.keys().filter(|ticket| &ticket.host == host);
        let running = self.running.keys().filter(|ticket| &ticket.host == host);
        let tickets: Vec<_> = waiting.chain(running).cloned().collect();
        for ticket in tickets {
            self.cancel(&ticket, now);
        }
    }

    /// Time has passed: what is too late is told so, and slow servers are looked for.
    pub fn tick(&mut self, now: Instant) {
        while let Some((deadline, ticket)) = self.deadlines.first().cloned() {
            if deadline > now {
                break;
            }
            self.remove(&ticket);
            let refusal = Refusal::new(Code::Expired, "the deadline passed while it waited");
            self.actions.push(Action::Refuse { ticket, refusal });
        }
        self.fleet.check_overdue(now);
        self.tiers.values_mut().for_each(TierQueue::sweep);
        self.pump(now);
    }

    /// Changes the servers, or what is known of them.
    pub fn update_fleet(&mut self, edit: impl FnOnce(&mut Fleet), now: Instant) {
        edit(&mut self.fleet);
        self.pump(now);
    }

    /// Changes the limit on the work that waits.
    pub fn set_work_limit(&mut self, work_limit: Tokens) {
        self.work_limit = work_limit;
        self.make_room();
    }

    /// Whether grants are grants_held back, while a new owner learns what runs already.
    pub fn set_grants_held(&mut self, grants_held: bool, now: Instant) {
        self.grants_held = grants_held;
        self.pump(now);
    }

    /// Takes what there is to tell.
    #[must_use = "an action that is dropped leaves its entry waiting"]
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}

/// # What it knows
impl Queue {
    /// Requests that wait.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.positions.len()
    }

    /// Requests that run.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Work that waits.
    #[must_use]
    pub fn waiting_work(&self) -> Tokens {
        self.tiers.values().map(|tier| tier.work).sum()
    }

    /// Every ticket that waits.
    pub fn waiting_tickets(&self) -> impl Iterator<Item = &Ticket> {
        self.positions.keys()
    }

    /// The servers.
    #[must_use]
    pub fn get_fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The rank of the lowest tier that waits.
    #[must_use]
    pub fn lowest_waiting_rank(&self) -> Option<u8> {
        let waiting = self.tiers.iter().rev().find(|pair| !pair.1.is_empty());
        waiting.map(|pair| *pair.0)
    }
}

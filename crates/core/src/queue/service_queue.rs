//! The request queue of one service.

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
use super::dispatch::to_work;
use super::position::Position;
use super::position::Running;
use super::response_length::ResponseLength;
use super::retry_budget::RetryBudget;
use super::tier_queue::TierQueue;

/// The queued and the running requests of one service, as its owner tracks them.
///
/// Submitting a request and handling a report take time logarithmic in the queued requests and
/// linear in the classes of servers. Memory is linear in the queued and running requests; it is
/// bounded by the limit on queued work and by the customers' limits on queued requests.
#[derive(Clone, Debug)]
pub struct Queue {
    pub(super) fleet: Fleet,
    /// The maximum cost of all queued requests, in tokens.
    pub(super) work_limit: Tokens,
    /// The queued requests, by the rank of their tier.
    pub(super) tiers: BTreeMap<u8, TierQueue>,
    /// Where each queued request is in `tiers`.
    pub(super) positions: HashMap<Ticket, Position>,
    /// The queued requests by deadline.
    pub(super) deadlines: BTreeSet<(Instant, Ticket)>,
    pub(super) running: HashMap<Ticket, Running>,
    pub(super) lengths: HashMap<id::Customer, ResponseLength>,
    /// The number of requests queued so far, which orders those with the same deadline.
    pub(super) arrivals: u64,
    pub(super) grants_held: bool,
    pub(super) retry_budget: RetryBudget,
    /// The actions that have not been taken yet.
    pub(super) actions: Vec<Action>,
}

/// # Events
impl Queue {
    /// Creates an empty queue for the servers of `fleet` that holds work of at most `work_limit`
    /// tokens.
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

    /// Submits a request for a server slot.
    ///
    /// A ticket that is submitted again is the same request: if it is queued, nothing changes; if
    /// it runs, its grant is repeated.
    pub fn submit(&mut self, request: Request, now: Instant) {
        if self.positions.contains_key(&request.ticket) {
            return;
        }
        if let Some(running) = self.running.get(&request.ticket) {
            let pick = running.pick.clone();
            let ticket = request.ticket;
            self.actions.push(Action::Grant { ticket, pick });
            return;
        }
        if let Err(refusal) = self.admit(&request, now) {
            let ticket = request.ticket;
            self.actions.push(Action::Refuse { ticket, refusal });
            return;
        }
        if !self.retry_budget.try_acquire(request.rank, request.attempt) {
            let why =
                "the retry budget is exhausted: too many requests of the tier are being retried";
            let refusal = Refusal::new(Code::Refused, why);
            let ticket = request.ticket;
            self.actions.push(Action::Refuse { ticket, refusal });
            return;
        }
        let length = self.lengths.entry(request.customer.clone()).or_default();
        let expected_output = length.estimate(request.max_output);
        self.enqueue(WaitingRequest {
            request,
            expected_output,
        });
        self.shed_excess_work();
        self.grant_available(now);
    }

    /// Records a request that runs already, as its entry reports it to a new owner of the queue.
    pub fn restore_running(&mut self, request: Request, server: &id::Server, now: Instant) {
        let Some(index) = self.fleet.index_of(server) else {
            return;
        };
        let length = self.lengths.entry(request.customer.clone()).or_default();
        let work = to_work(&request, length.estimate(request.max_output));
        let pick = Pick {
            server_index: index,
            name: server.clone(),
            cached: request.prompt,
            estimate: TimeEstimate::default(),
        };
        self.remove_waiting(&request.ticket);
        if self.running.contains_key(&request.ticket) {
            return;
        }
        self.start_running(request.ticket.clone(), request.customer, pick, work, now);
        if let Some(running) = self.running.get_mut(&request.ticket) {
            running.first_token_at = Some(now);
        }
    }

    /// Handles the report of an entry on a request that was granted a slot.
    pub fn report(&mut self, ticket: &Ticket, report: Report, now: Instant) {
        match report {
            Report::FirstToken => self.on_first_token(ticket, now),
            Report::Tokens(tokens) => self.on_tokens(ticket, tokens, now),
            Report::Ended { output, cached } => self.on_ended(ticket, output, cached, now),
        }
        self.grant_available(now);
    }

    /// Drops a request whose caller has left. No action is issued for it.
    pub fn cancel(&mut self, ticket: &Ticket, now: Instant) {
        self.remove_waiting(ticket);
        if self.running.contains_key(ticket) {
            self.on_ended(ticket, Tokens(0), None, now);
        }
        self.grant_available(now);
    }

    /// Drops all requests of an entry that is gone.
    pub fn remove_entry(&mut self, host: &id::Host, now: Instant) {
        let waiting = self.positions.keys().filter(|ticket| &ticket.host == host);
        let running = self.running.keys().filter(|ticket| &ticket.host == host);
        let tickets: Vec<_> = waiting.chain(running).cloned().collect();
        for ticket in tickets {
            self.cancel(&ticket, now);
        }
    }

    /// Does the periodic work: refuses requests whose deadline has passed, checks for slow servers,
    /// and drops the accounting of idle customers.
    pub fn tick(&mut self, now: Instant) {
        while let Some((deadline, ticket)) = self.deadlines.first().cloned() {
            if deadline > now {
                break;
            }
            self.remove_waiting(&ticket);
            let refusal = Refusal::new(
                Code::Expired,
                "the deadline passed while the request was queued",
            );
            self.actions.push(Action::Refuse { ticket, refusal });
        }
        self.fleet.check_overdue(now);
        self.tiers.values_mut().for_each(TierQueue::sweep);
        self.grant_available(now);
    }

    /// Updates the servers, or what is known of them, and grants slots that became free.
    pub fn update_fleet(&mut self, update: impl FnOnce(&mut Fleet), now: Instant) {
        update(&mut self.fleet);
        self.grant_available(now);
    }

    /// Sets the limit on queued work, in tokens, and sheds requests above it.
    pub fn set_work_limit(&mut self, work_limit: Tokens) {
        self.work_limit = work_limit;
        self.shed_excess_work();
    }

    /// Sets whether grants are held back, as a new owner does until it knows which requests already
    /// run.
    pub fn set_grants_held(&mut self, grants_held: bool, now: Instant) {
        self.grants_held = grants_held;
        self.grant_available(now);
    }

    /// Takes the actions that are to be sent to entries.
    #[must_use = "the entry of a dropped action waits until its deadline"]
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}

/// # Queries
impl Queue {
    /// The number of queued requests.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.positions.len()
    }

    /// The number of running requests.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// The queued work, in tokens.
    #[must_use]
    pub fn waiting_work(&self) -> Tokens {
        self.tiers.values().map(|tier| tier.work).sum()
    }

    /// The tickets of all queued requests.
    pub fn waiting_tickets(&self) -> impl Iterator<Item = &Ticket> {
        self.positions.keys()
    }

    /// The servers of the service.
    #[must_use]
    pub fn get_fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The rank of the lowest tier that has queued requests.
    #[must_use]
    pub fn lowest_waiting_rank(&self) -> Option<u8> {
        let waiting = self.tiers.iter().rev().find(|pair| !pair.1.is_empty());
        waiting.map(|pair| *pair.0)
    }
}

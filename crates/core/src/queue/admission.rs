//! Decides which requests may be queued, and which queued ones are shed.

use crate::clock::Instant;
use crate::code::Code;
use crate::code::Refusal;

use super::Action;
use super::Queue;
use super::Request;
use super::Ticket;
use super::customer_queue::WaitingRequest;
use super::dispatch::cannot_finish;
use super::dispatch::to_work;
use super::position::Position;
use super::tier_queue::TierQueue;

/// # Admission
impl Queue {
    /// Checks whether a request may be queued.
    ///
    /// Refuses it if its customer has too many requests queued, if no server is live, or if even
    /// the fastest server couldn't meet its deadlines.
    pub(super) fn admit(&self, request: &Request, now: Instant) -> Result<(), Refusal> {
        let waiting_count = self
            .tiers
            .get(&request.rank)
            .map_or(0, |tier| tier.count(&request.customer));
        if waiting_count >= request.max_waiting as usize {
            let why = format!(
                "{waiting_count} requests of this customer are queued already; the limit is {}",
                request.max_waiting
            );
            return Err(Refusal::new(Code::QueueLimit, why));
        }
        let length = self
            .lengths
            .get(&request.customer)
            .copied()
            .unwrap_or_default();
        let work = to_work(request, length.estimate(request.max_output));
        let Some(fastest) = self.fleet.fastest_estimate(&work) else {
            return Err(Refusal::new(
                Code::NoServer,
                "no backend server of the service is live",
            ));
        };
        if now + fastest.first_token > request.first_token_deadline
            || now + fastest.total > request.deadline
        {
            return Err(cannot_finish(&fastest));
        }
        Ok(())
    }

    /// Adds an admitted request to the queue of its tier.
    pub(super) fn enqueue(&mut self, waiting: WaitingRequest) {
        self.arrivals += 1;
        let request = &waiting.request;
        let key = (request.deadline, self.arrivals);
        let position = Position {
            rank: request.rank,
            customer: request.customer.clone(),
            key,
        };
        self.deadlines
            .insert((request.deadline, request.ticket.clone()));
        self.positions.insert(request.ticket.clone(), position);
        self.tiers
            .entry(request.rank)
            .or_default()
            .push(key, waiting);
    }

    /// Sheds requests from the lowest tier until the queued work is within the limit.
    pub(super) fn shed_excess_work(&mut self) {
        while self.waiting_work() > self.work_limit {
            let Some(rank) = self.lowest_waiting_rank() else {
                return;
            };
            let Some(shed) = self.tiers.get_mut(&rank).and_then(TierQueue::shed) else {
                return;
            };
            let ticket = shed.request.ticket;
            self.positions.remove(&ticket);
            self.deadlines
                .remove(&(shed.request.deadline, ticket.clone()));
            let why = "the queue of the service is full; the lowest waiting tier is shed first";
            let refusal = Refusal::new(Code::Shed, why);
            self.actions.push(Action::Refuse { ticket, refusal });
        }
    }

    /// Removes a request from the queue; does nothing if it isn't queued.
    pub(super) fn remove_waiting(&mut self, ticket: &Ticket) {
        let Some(position) = self.positions.remove(ticket) else {
            return;
        };
        self.deadlines.remove(&(position.key.0, ticket.clone()));
        if let Some(tier) = self.tiers.get_mut(&position.rank) {
            tier.remove(&position.customer, position.key);
        }
    }
}

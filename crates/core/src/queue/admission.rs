//! Which requests may wait, and which are shed.

use crate::clock::Instant;
use crate::code::Code;
use crate::code::Refusal;

use super::Action;
use super::Queue;
use super::Request;
use super::Ticket;
use super::customer_queue::WaitingRequest;
use super::dispatch::cannot_finish;
use super::dispatch::work_of;
use super::position::Position;
use super::tier_queue::TierQueue;

/// # Admission
impl Queue {
    /// Whether a request may wait at all.
    pub(super) fn admit(&self, ask: &Request, now: Instant) -> Result<(), Refusal> {
        let held = self
            .tiers
            .get(&ask.rank)
            .map_or(0, |tier| tier.count(&ask.customer));
        if held >= ask.max_waiting as usize {
            let why = format!(
                "{held} requests of this customer wait; it may have {}",
                ask.max_waiting
            );
            return Err(Refusal::new(Code::QueueLimit, why));
        }
        let length = self.lengths.get(&ask.customer).copied().unwrap_or_default();
        let work = work_of(ask, length.expect(ask.max_output));
        let Some(fastest) = self.fleet.fastest_estimate(&work) else {
            return Err(Refusal::new(
                Code::NoServer,
                "no backend server of the service is live",
            ));
        };
        if now + fastest.first_token > ask.first_token_deadline
            || now + fastest.total > ask.deadline
        {
            return Err(cannot_finish(&fastest));
        }
        Ok(())
    }

    pub(super) fn wait(&mut self, waiting: WaitingRequest) {
        self.arrivals += 1;
        let ask = &waiting.ask;
        let key = (ask.deadline, self.arrivals);
        let position = Position {
            rank: ask.rank,
            customer: ask.customer.clone(),
            key,
        };
        self.deadlines.insert((ask.deadline, ask.ticket.clone()));
        self.positions.insert(ask.ticket.clone(), position);
        self.tiers.entry(ask.rank).or_default().push(key, waiting);
    }

    /// Sheds from the lowest tier until the work that waits is within the limit.
    pub(super) fn make_room(&mut self) {
        while self.waiting_work() > self.work_limit {
            let Some(rank) = self.lowest_waiting_rank() else {
                return;
            };
            let Some(shed) = self.tiers.get_mut(&rank).and_then(TierQueue::shed) else {
                return;
            };
            let ticket = shed.ask.ticket;
            self.positions.remove(&ticket);
            self.deadlines.remove(&(shed.ask.deadline, ticket.clone()));
            let why = "the service is full; the lowest tier that waits is shed first";
            let refusal = Refusal::new(Code::Shed, why);
            self.actions.push(Action::Refuse { ticket, refusal });
        }
    }

    pub(super) fn remove(&mut self, ticket: &Ticket) {
        let Some(position) = self.positions.remove(ticket) else {
            return;
        };
        self.deadlines.remove(&(position.key.0, ticket.clone()));
        if let Some(tier) = self.tiers.get_mut(&position.rank) {
            tier.remove(&position.customer, position.key);
        }
    }
}

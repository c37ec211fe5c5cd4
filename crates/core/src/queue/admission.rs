//! Which requests may wait, and which are shed.

use crate::clock::Instant;
use crate::code::Code;
use crate::code::Refusal;

use super::Action;
use super::Queue;
use super::Request;
use super::Ticket;
use super::dispatch::cannot_finish;
use super::dispatch::work_of;
use super::level::Level;
use super::line::Waiting;
use super::spot::Spot;

/// # Admission
impl Queue {
    /// Whether a request may wait at all.
    pub(super) fn admit(&self, ask: &Request, now: Instant) -> Result<(), Refusal> {
        let held = self
            .levels
            .get(&ask.rank)
            .map_or(0, |level| level.count(&ask.customer));
        if held >= ask.waiting as usize {
            let why = format!(
                "{held} requests of this customer wait; it may have {}",
                ask.waiting
            );
            return Err(Refusal::new(Code::QueueLimit, why));
        }
        let length = self.lengths.get(&ask.customer).copied().unwrap_or_default();
        let work = work_of(ask, length.expect(ask.output));
        let Some(fastest) = self.fleet.fastest(&work) else {
            return Err(Refusal::new(
                Code::NoServer,
                "no backend server of the service is live",
            ));
        };
        if now + fastest.first > ask.first || now + fastest.whole > ask.deadline {
            return Err(cannot_finish(&fastest));
        }
        Ok(())
    }

    pub(super) fn wait(&mut self, waiting: Waiting) {
        self.arrivals += 1;
        let ask = &waiting.ask;
        let place = (ask.deadline, self.arrivals);
        let spot = Spot {
            rank: ask.rank,
            customer: ask.customer.clone(),
            place,
        };
        self.deadlines.insert((ask.deadline, ask.ticket.clone()));
        self.spots.insert(ask.ticket.clone(), spot);
        self.levels
            .entry(ask.rank)
            .or_default()
            .push(place, waiting);
    }

    /// Sheds from the lowest tier until the work that waits is within the limit.
    pub(super) fn make_room(&mut self) {
        while self.work() > self.limit {
            let Some(rank) = self.lowest() else { return };
            let Some(shed) = self.levels.get_mut(&rank).and_then(Level::shed) else {
                return;
            };
            let ticket = shed.ask.ticket;
            self.spots.remove(&ticket);
            self.deadlines.remove(&(shed.ask.deadline, ticket.clone()));
            let why = "the service is full; the lowest tier that waits is shed first";
            let refusal = Refusal::new(Code::Shed, why);
            self.actions.push(Action::Refuse { ticket, refusal });
        }
    }

    pub(super) fn remove(&mut self, ticket: &Ticket) {
        let Some(spot) = self.spots.remove(ticket) else {
            return;
        };
        self.deadlines.remove(&(spot.place.0, ticket.clone()));
        if let Some(level) = self.levels.get_mut(&spot.rank) {
            level.remove(&spot.customer, spot.place);
        }
    }
}

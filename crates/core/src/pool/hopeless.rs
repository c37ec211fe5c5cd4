//! Who waits in vain.

use crate::clock::Instant;

use super::Ask;
use super::Pool;
use super::Ticket;
use super::server::Known;

impl Pool {
    /// Takes those out of line whose turn is not likely to come before they stop waiting, and those
    /// who have tried every server.
    pub fn give_up(&mut self, now: Instant) -> Vec<Ticket> {
        let mut hopeless = Vec::new();
        let mut ahead = 0;
        let full = self.is_full(now);
        let rates = self.forecast.rates(now);
        for (place, ask) in self.waiting.all() {
            let wait = rates.wait(place, ahead);
            let too_long = wait.is_some_and(|wait| now + wait > ask.until);
            if (full && too_long) || self.has_tried_all(ask) {
                hopeless.push(place.ticket);
            } else {
                ahead += 1;
            }
        }
        for ticket in &hopeless {
            self.waiting.remove(*ticket);
        }
        hopeless
    }

    /// Whether it is for want of room that requests wait, not for servers that are left alone.
    fn is_full(&self, now: Instant) -> bool {
        let is_trusted = |known: &Known| !known.trust.is_suspect(now);
        let mut free = self.servers.free().iter();
        let has_room = free.any(|place| is_trusted(self.servers.at(*place)));
        let mut taking = self.servers.all().filter(|known| known.takes_work());
        !has_room && taking.any(is_trusted)
    }

    /// Whether there is no server left that a request has not tried.
    fn has_tried_all(&self, ask: &Ask) -> bool {
        let mut taking = self.servers.all().filter(|known| known.takes_work());
        let tried = |known: &Known| ask.tried.contains(&known.server.incarnation);
        !ask.tried.is_empty() && taking.all(tried)
    }
}

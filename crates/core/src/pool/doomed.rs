//! Who waits in vain.

use crate::clock::Instant;
use crate::gateway::Server;

use super::Pool;
use super::Request;
use super::Ticket;
use super::server_state::ServerState;

impl Pool {
    /// Takes those out of line whose turn is not likely to come before they stop waiting, and those
    /// who have tried every server.
    pub fn remove_doomed(&mut self, now: Instant) -> Vec<Ticket> {
        let mut hopeless = Vec::new();
        let mut ahead = 0;
        let full = self.is_full(|_| true, now);
        // Where all servers have named limits, turns cannot come faster than these, however few came lately.
        let rates = self.forecast.rates(now).at_most(self.total_limit_rate());
        let resting = self.backoffs(now);
        for (place, ask) in self.waiting.all() {
            let ask = &*ask.with_rests(&resting);
            // A server that rests, or is in another hall, is no room for this one, however empty it is.
            let may_go = |server: &Server| ask.may_go_to(server, now);
            let full = full || (ask.is_kept_from() && self.is_full(may_go, now));
            let wait = rates.wait(place, ahead);
            let too_long = wait.is_some_and(|wait| now + wait > ask.wait_until);
            if (full && too_long) || self.waits_in_vain(ask) {
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

    /// Whether it is for want of room that requests wait for the servers that are `open`, not for servers that are
    /// left alone.
    fn is_full(&self, open: impl Fn(&Server) -> bool, now: Instant) -> bool {
        let is_trusted = |known: &ServerState| open(&known.server) && !known.trust.is_suspect(now);
        let mut free = self.servers.free().iter();
        let has_room = free.any(|place| {
            let known = self.servers.at(*place);
            is_trusted(known) && self.limits.admits(&known.server, now)
        });
        let mut taking = self.servers.all().filter(|known| known.takes_work());
        !has_room && taking.any(is_trusted)
    }

    /// Whether no server is left that a request may be sent to while it waits.
    fn waits_in_vain(&self, ask: &Request) -> bool {
        let mut taking = self.servers.all().filter(|known| known.takes_work());
        let is_tried = !ask.tried.is_empty();
        let is_bound = is_tried || (ask.is_kept_from() && self.accepts_work());
        is_bound && taking.all(|known| ask.waits_in_vain(&known.server))
    }
}

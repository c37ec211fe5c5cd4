//! Finds queued requests that cannot be served in time.

use crate::clock::Instant;
use crate::gateway::Server;

use super::Pool;
use super::Request;
use super::Ticket;
use super::server_state::ServerState;

impl Pool {
    /// Removes the requests from the queue that are not likely to be assigned before they stop waiting, and those
    /// that no server is left for. Returns their tickets.
    pub fn remove_doomed(&mut self, now: Instant) -> Vec<Ticket> {
        let mut doomed = Vec::new();
        let mut ahead = 0;
        let is_full = self.is_full(|_| true, now);
        // If all servers announced rate limits, assignments cannot be faster than the sum of these, even if too few
        // were made lately for an estimate.
        let rates = self.forecast.rates(now).capped(self.total_limit_rate());
        let backoffs = self.backoffs(now);
        for (position, request) in self.queue.iter() {
            let request = &*request.with_backoffs(&backoffs);
            // A server that backs off, or is outside the request's halls, does not count as room, even when idle.
            let may_go = |server: &Server| request.may_go_to(server, now);
            let is_full = is_full || (request.has_backoff_or_halls() && self.is_full(may_go, now));
            let wait = rates.wait(position, ahead);
            let too_long = wait.is_some_and(|wait| now + wait > request.wait_until);
            if (is_full && too_long) || self.has_no_server_left(request) {
                doomed.push(position.ticket);
            } else {
                ahead += 1;
            }
        }
        for ticket in &doomed {
            self.queue.remove(*ticket);
        }
        doomed
    }

    /// Whether requests wait because the servers that they `may` go to are full, rather than because those are avoided
    /// after failures.
    fn is_full(&self, may: impl Fn(&Server) -> bool, now: Instant) -> bool {
        let is_usable = |state: &ServerState| may(&state.server) && !state.health.is_suspect(now);
        let mut free = self.servers.free().iter();
        let has_room = free.any(|index| {
            let state = self.servers.at(*index);
            is_usable(state) && self.limits.admits(&state.server, now)
        });
        let mut accepting = self.servers.all().filter(|state| state.accepts_work());
        let has_room = has_room && self.assignments_left != Some(0);
        !has_room && accepting.any(is_usable)
    }

    /// Whether no server is left that a request may be sent to while it is queued.
    fn has_no_server_left(&self, request: &Request) -> bool {
        let mut accepting = self.servers.all().filter(|state| state.accepts_work());
        let is_tried = !request.tried.is_empty();
        let is_restricted = is_tried || (request.has_backoff_or_halls() && self.accepts_work());
        is_restricted && accepting.all(|state| request.never_goes_to(&state.server))
    }
}

//! Finds queued requests that cannot be served in time.

use std::time::Duration;

use crate::clock::Instant;
use crate::gateway::Server;

use super::Part;
use super::Pool;
use super::Request;
use super::Ticket;
use super::forecast::Rates;
use super::queue::Position;
use super::server_state::ServerState;

/// The factor by which the predicted wait of a new request is multiplied. The rate of assignments varies by about a tenth,
/// and a request should be rejected at once or not at all.
const NEW_WAIT_MARGIN: f64 = 1.25;

/// The same for a request that was queued before: the inverse, so that it is not rejected for a small change of the rates.
const QUEUED_WAIT_MARGIN: f64 = 0.8;

impl Pool {
    /// Removes the requests from the queue that are not likely to be assigned before they stop waiting, and those
    /// that no server is left for. Returns their tickets.
    pub fn remove_doomed(&mut self, now: Instant) -> Vec<Ticket> {
        let mut doomed = Vec::new();
        let mut ahead = 0;
        let mut rejected_rank = None;
        // Slots that the requests in front decline are no room for those behind.
        let is_full = self.is_full(|_| true, now) || self.is_saturated();
        // If all servers announced rate limits, assignments cannot be faster than the sum of these, even if too few
        // were made lately for an estimate.
        let rates = self.rates(is_full, now);
        let rates = rates.unknown_if(self.servers.is_new(now));
        let rates = rates.capped(self.total_limit_rate());
        let backoffs = self.backoffs(now);
        let mut order = self.queue.requests_in_order();
        let mut waits = self.queue.waits(&rates, now);
        while let Some((position, request)) = order.next() {
            let request = &*request.with_backoffs(&backoffs);
            // A server that the request must not go to does not count as room, even when idle.
            let may_go = |server: &Server| request.may_go_to(server, now);
            let is_full = is_full || (request.has_conditions() && self.is_full(may_go, now));
            let predict = |position: &Position| waits.predict(&order, position, ahead);
            let is_new = position.ticket.0 > self.last_checked;
            // A new request of a higher rank was judged by the stricter margin.
            let is_strict = is_new || rejected_rank.is_some_and(|rank| rank < position.rank);
            let margin = if is_strict {
                NEW_WAIT_MARGIN
            } else {
                QUEUED_WAIT_MARGIN
            };
            let too_long = self.waits_too_long(&position, request, predict, (ahead, margin), now);
            if (is_full && too_long) || self.has_no_server_left(request) {
                doomed.push(position.ticket);
                if is_new {
                    rejected_rank.get_or_insert(position.rank);
                }
            } else {
                ahead += 1;
                order.serve();
            }
        }
        for ticket in &doomed {
            self.queue.remove(*ticket);
        }
        self.last_checked = self.last_ticket;
        doomed
    }

    /// The rates by which the waits of queued requests are predicted.
    fn rates(&mut self, is_full: bool, now: Instant) -> Rates {
        if !self.uses(Part::RetryTimes) {
            return self.forecast.rates(now);
        }
        if is_full && self.queue.len() > 0 {
            self.forecast.record_full(now);
        }
        self.new_rates(now)
    }

    /// Whether a request with `ahead` others before it is likely to get no slot while it waits, by `margin`. `predict` tells how long a
    /// request waits at a position.
    fn waits_too_long(
        &self,
        position: &Position,
        request: &Request,
        mut predict: impl FnMut(&Position) -> Option<Duration>,
        (ahead, margin): (usize, f64),
        now: Instant,
    ) -> bool {
        if !self.uses(Part::RetryTimes) {
            return predict(position).is_some_and(|wait| now + wait > request.wait_until);
        }
        let exceeds = |wait: Option<Duration>, limit: Instant| {
            wait.is_some_and(|wait| wait > limit.since(now).div_f64(margin))
        };
        // New requests of its rank go before a request that is late, or whose caller has returned early.
        let overtaken = Position {
            late: true,
            ..*position
        };
        let is_overtaken = position.late || position.arrived > now;
        let overtaken_wait = predict(&overtaken);
        let wait = if is_overtaken {
            overtaken_wait
        } else {
            predict(position)
        };
        // The first request in the queue may get the next slot, however rarely one becomes free.
        let will_be_late = ahead > 0 && exceeds(wait, request.send_by);
        exceeds(wait, request.wait_until)
            || (will_be_late && exceeds(overtaken_wait, request.wait_until))
    }

    /// Whether requests wait because the servers that they `may` go to are full, rather than because those are avoided
    /// after failures.
    fn is_full(&self, may: impl Fn(&Server) -> bool, now: Instant) -> bool {
        let is_usable = |state: &ServerState| may(&state.server) && !state.health.is_suspect(now);
        let mut free = self.servers.free().iter();
        let has_room = free.any(|index| {
            let state = self.servers.at(*index);
            is_usable(state) && self.admits(state, now)
        });
        let mut accepting = self.servers.all().filter(|state| state.accepts_work());
        let has_room = has_room && self.assignments_left != Some(0);
        !has_room && accepting.any(is_usable)
    }

    /// Whether no server is left that a request may be sent to while it is queued.
    fn has_no_server_left(&self, request: &Request) -> bool {
        let mut accepting = self.servers.all().filter(|state| state.accepts_work());
        let is_tried = !request.tried.is_empty();
        let is_restricted = is_tried || (request.has_conditions() && self.accepts_work());
        is_restricted && accepting.all(|state| request.never_goes_to(&state.server))
    }
}

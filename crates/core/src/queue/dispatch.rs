//! Grants server slots to queued requests in order, and learns from the progress of running ones.

use std::time::Duration;

use crate::clock::Instant;
use crate::code::Code;
use crate::code::Refusal;
use crate::fleet::Pick;
use crate::fleet::TimeEstimate;
use crate::fleet::Work;
use crate::id;
use crate::unit::Tokens;

use super::Action;
use super::Queue;
use super::Request;
use super::Ticket;
use super::position::Running;

/// Added to every expected response time, for the delay of messages between entry, owner and
/// server.
const MESSAGE_DELAY_MARGIN: Duration = Duration::from_millis(60);

/// # Dispatch
impl Queue {
    /// Grants slots in queue order while there is a server for the next request.
    pub(super) fn grant_available(&mut self, now: Instant) {
        while !self.grants_held && self.grant_next(now) {}
    }

    /// Grants or refuses the next request; returns whether one has left the queue.
    pub(super) fn grant_next(&mut self, now: Instant) -> bool {
        let Some(tier) = self.tiers.iter().find(|pair| !pair.1.is_empty()) else {
            return false;
        };
        let rank = *tier.0;
        let Some((key, waiting)) = tier.1.first() else {
            return false;
        };
        let work = to_work(&waiting.request, waiting.expected_output);
        let deadline = waiting.request.deadline;
        let first_token_deadline = waiting.request.first_token_deadline;
        let customer = waiting.request.customer.clone();
        let Some(pick) = self.fleet.pick(&work) else {
            return false;
        };
        let safety_margin = self.fleet.get_tuning().safety_margin;
        let in_time = |time: &TimeEstimate| {
            now + with_margin(time.first_token, safety_margin) <= first_token_deadline
                && now + with_margin(time.total, safety_margin) <= deadline
        };
        let is_late = !in_time(&pick.estimate);
        // Another server would finish in time: the request waits for a slot there.
        if is_late
            && self
                .fleet
                .fastest_estimate(&work)
                .is_some_and(|time| in_time(&time))
        {
            return false;
        }
        let Some(tier) = self.tiers.get_mut(&rank) else {
            return false;
        };
        let removed = if is_late {
            tier.remove(&customer, key)
        } else {
            tier.pop()
        };
        let Some(removed) = removed else { return false };
        let ticket = removed.request.ticket;
        self.positions.remove(&ticket);
        self.deadlines.remove(&(deadline, ticket.clone()));
        if is_late {
            let refusal = cannot_finish(&pick.estimate);
            self.actions.push(Action::Refuse { ticket, refusal });
        } else {
            let granted_ticket = ticket.clone();
            self.actions.push(Action::Grant {
                ticket: granted_ticket,
                pick: pick.clone(),
            });
            self.start_running(ticket, customer, pick, work, now);
        }
        true
    }

    /// Records that a request has been sent to the server of `pick`.
    pub(super) fn start_running(
        &mut self,
        ticket: Ticket,
        customer: id::Customer,
        pick: Pick,
        work: Work,
        now: Instant,
    ) {
        self.fleet.on_sent(&pick, &work, now);
        let running = Running {
            pick,
            work,
            customer,
            sent_at: now,
            first_token_at: None,
            last_progress: (now, Tokens(0)),
        };
        let previous = self.running.insert(ticket, running);
        debug_assert!(previous.is_none(), "a ticket must not run twice");
    }

    /// Records the arrival of the first token.
    pub(super) fn on_first_token(&mut self, ticket: &Ticket, now: Instant) {
        let Some(running) = self.running.get_mut(ticket) else {
            return;
        };
        if running.first_token_at.is_some() {
            return;
        }
        running.first_token_at = Some(now);
        running.last_progress = (now, Tokens(1));
        let elapsed = Some(now.since(running.sent_at));
        self.fleet
            .on_first_token(&running.pick, &running.work, elapsed, now);
    }

    /// Records the total number of tokens received so far.
    pub(super) fn on_tokens(&mut self, ticket: &Ticket, tokens: Tokens, now: Instant) {
        let Some(running) = self.running.get_mut(ticket) else {
            return;
        };
        if running.first_token_at.is_none() {
            return;
        }
        let (since, previous_tokens) = running.last_progress;
        running.last_progress = (now, tokens);
        self.fleet.on_tokens(
            running.pick.server_index,
            tokens.saturating_sub(previous_tokens),
            now.since(since),
        );
    }

    /// Records the end of an attempt and frees its slot.
    pub(super) fn on_ended(
        &mut self,
        ticket: &Ticket,
        output: Tokens,
        cached: Option<Tokens>,
        now: Instant,
    ) {
        let Some(running) = self.running.remove(ticket) else {
            return;
        };
        if running.first_token_at.is_none() {
            self.fleet
                .on_first_token(&running.pick, &running.work, None, now);
        }
        self.fleet.on_ended(&running.pick, &running.work, cached);
        if output > Tokens(0) {
            self.lengths
                .entry(running.customer)
                .or_default()
                .observe(output);
        }
    }
}

/// Adds a safety margin to an expected time: the fraction `safety_margin` of it, and the delay of
/// messages.
///
/// Under overload granted requests only just meet their deadlines. Without a margin a small error
/// in the estimate makes such a request miss its deadline, and the work on its whole prompt is
/// wasted.
fn with_margin(time: Duration, safety_margin: f64) -> Duration {
    time.mul_f64(1.0 + safety_margin) + MESSAGE_DELAY_MARGIN
}

/// The work that the request causes on a server, with the expected length of its response.
pub(super) fn to_work(request: &Request, expected_output: Tokens) -> Work {
    Work {
        prompt: request.prompt,
        output: expected_output,
        prefixes: request.prefixes.clone(),
    }
}

/// The refusal of a request that would need `expected` time, too long for its deadlines.
pub(super) fn cannot_finish(expected: &TimeEstimate) -> Refusal {
    let first = expected.first_token.as_millis();
    let whole = expected.total.as_millis();
    let why =
        format!("it needs {first} ms to its first token and {whole} ms in all; that is too late");
    Refusal::new(Code::CannotFinish, why)
}

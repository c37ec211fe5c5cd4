//! Grants in turn, and what is learnt from what runs.

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

/// Added to each expected time for the ways of messages.
const SLACK: Duration = Duration::from_millis(60);

/// # Dispatch
impl Queue {
    /// Grants in turn, as long as there is a server for whose turn it is.
    pub(super) fn pump(&mut self, now: Instant) {
        while !self.grants_held && self.grant_next(now) {}
    }

    /// Whether something left the queue.
    pub(super) fn grant_next(&mut self, now: Instant) -> bool {
        let Some(tier) = self.tiers.iter().find(|pair| !pair.1.is_empty()) else {
            return false;
        };
        let rank = *tier.0;
        let Some((key, waiting)) = tier.1.first() else {
            return false;
        };
        let work = work_of(&waiting.ask, waiting.expect);
        let deadline = waiting.ask.deadline;
        let first = waiting.ask.first_token_deadline;
        let customer = waiting.ask.customer.clone();
        let Some(pick) = self.fleet.pick(&work) else {
            return false;
        };
        let caution = self.fleet.get_tuning().safety_margin;
        let in_time = |time: &TimeEstimate| {
            now + cautious(time.first_token, caution) <= first
                && now + cautious(time.total, caution) <= deadline
        };
        let late = !in_time(&pick.estimate);
        // Another server may do what this one cannot: the request waits for it.
        if late
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
        let taken = if late {
            tier.remove(&customer, key)
        } else {
            tier.pop()
        };
        let Some(taken) = taken else { return false };
        let ticket = taken.ask.ticket;
        self.positions.remove(&ticket);
        self.deadlines.remove(&(deadline, ticket.clone()));
        if late {
            let refusal = cannot_finish(&pick.estimate);
            self.actions.push(Action::Refuse { ticket, refusal });
        } else {
            let granted = ticket.clone();
            self.actions.push(Action::Grant {
                ticket: granted,
                pick: pick.clone(),
            });
            self.run(ticket, customer, pick, work, now);
        }
        true
    }

    pub(super) fn run(
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
            sent: now,
            first: None,
            counted: (now, Tokens(0)),
        };
        let before = self.running.insert(ticket, running);
        debug_assert!(before.is_none(), "a ticket runs once");
    }

    pub(super) fn on_first(&mut self, ticket: &Ticket, now: Instant) {
        let Some(running) = self.running.get_mut(ticket) else {
            return;
        };
        if running.first.is_some() {
            return;
        }
        running.first = Some(now);
        running.counted = (now, Tokens(1));
        let took = Some(now.since(running.sent));
        self.fleet
            .on_first_token(&running.pick, &running.work, took, now);
    }

    pub(super) fn on_tokens(&mut self, ticket: &Ticket, tokens: Tokens, now: Instant) {
        let Some(running) = self.running.get_mut(ticket) else {
            return;
        };
        if running.first.is_none() {
            return;
        }
        let (since, counted) = running.counted;
        running.counted = (now, tokens);
        self.fleet.on_tokens(
            running.pick.server_index,
            tokens.less(counted),
            now.since(since),
        );
    }

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
        if running.first.is_none() {
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

/// What is counted on for a time that is expected: a part more, and the ways of messages.
///
/// Under overload what is granted can only just meet its limit; without this a small error
/// throws its whole prompt away.
fn cautious(time: Duration, part: f64) -> Duration {
    time.mul_f64(1.0 + part) + SLACK
}

pub(super) fn work_of(ask: &Request, expect: Tokens) -> Work {
    Work {
        prompt: ask.prompt,
        output: expect,
        prefixes: ask.prefixes.clone(),
    }
}

pub(super) fn cannot_finish(needs: &TimeEstimate) -> Refusal {
    let first = needs.first_token.as_millis();
    let whole = needs.total.as_millis();
    let why =
        format!("it needs {first} ms to its first token and {whole} ms in all; that is too late");
    Refusal::new(Code::CannotFinish, why)
}

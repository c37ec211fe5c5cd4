//! The choice of an engine by estimates: in time, at the least cost to other requests.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::route::Rank;
use crate::unit::Tokens;

use super::AttemptOutcome;
use super::Part;
use super::Pool;
use super::ReportedLoad;
use super::Request;
use super::Ticket;
use super::estimate::Estimate;
use super::estimate::is_long;
use super::forecast::seconds_for;
use super::queue::Position;
use super::server_state::ServerState;

/// The time without a response after which an engine gets a request as a probe, even if that will be late.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// How many requests are assigned between two probes that cannot be in time.
const LATE_PROBE_INTERVAL: u32 = 50;

/// How many requests an engine may have that have not begun, while nothing is known of its pace.
const MAX_UNPROVEN: usize = 2;

/// How many requests are left waiting for a place in time in one pass over the queue; the time of a pass must not grow
/// with the queue.
const MAX_PASSED_OVER: u32 = 32;

/// How many times the forecast of its wait must fit in the time that a request has left to wait for a place in time.
/// The forecast counts the slots of all engines, and many of these are not in time for the request. With 1, a fifth of
/// the requests that waited were late at 1.25 times the capacity.
const WAIT_MARGIN: f64 = 10.0;

/// For how long the pace of the fastest engine is used before it is looked up again.
const FASTEST_LIFETIME: Duration = Duration::from_millis(100);

/// The decision about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Choice {
    /// It goes to the engine at this index.
    Engine(usize),
    /// It waits for a place that is in time.
    Wait,
    /// No engine is usable.
    Nowhere,
}

/// An engine that has become slow, or has recovered.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceChange {
    /// The incarnation.
    pub incarnation: Arc<str>,
    /// How many times its usual time it takes now.
    pub relative_time: f64,
}

/// What the choice by estimates remembers from one request to the next.
#[derive(Clone, Debug, Default)]
pub(super) struct Placement {
    /// Whether this is the hub's pool; only the hub learns how all requests at an engine go.
    is_for_all_gateways: bool,
    /// The position of the request that is being decided.
    position: Option<Position>,
    /// Whether that request waits for a place in time.
    waits: bool,
    /// How many requests were left waiting in this pass over the queue.
    passed_over: u32,
    /// The rank of a request that no engine with room can take in this pass. Lower ranks must not take what becomes free.
    blocked_below: Option<Rank>,
    /// How many requests were assigned since the last probe that could not be in time.
    since_late_probe: u32,
    /// The fastest engine, and when it was looked up.
    fastest: Option<(usize, Instant)>,
    /// How many requests were placed where they cannot be in time, since that was last asked.
    late: u64,
    /// The engines that have become slow or have recovered, since that was last asked.
    changes: Vec<PaceChange>,
}

impl Placement {
    /// The same for the hub's pool.
    pub(super) fn for_all_gateways(self) -> Self {
        Self {
            is_for_all_gateways: true,
            ..self
        }
    }
}

/// One engine with room, for one request.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    index: usize,
    estimate: Estimate,
    /// The largest part of an objective that is used: below 1 if the request and the streams there will be in time.
    risk: f64,
}

impl Candidate {
    /// The cost of the request there, in events of that engine: a slot of a fast engine costs proportionally more, as it does
    /// more work. Where an objective is nearly used up, an error of the estimate costs it.
    fn cost(&self) -> f64 {
        let events = self.estimate.completion / self.estimate.gap.max(f64::MIN_POSITIVE);
        events * (1.0 + self.risk * self.risk) + self.estimate.harm
    }
}

/// # What engines do
impl Pool {
    /// Whether what engines do is measured here.
    fn measures_engines(&self) -> bool {
        self.uses(Part::Placement) && self.placement.is_for_all_gateways
    }

    /// Records that a request is assigned to the engine at `index`, before it is counted there.
    pub(super) fn record_placement(
        &mut self,
        index: usize,
        ticket: Ticket,
        request: &Request,
        now: Instant,
    ) {
        if !self.measures_engines() {
            return;
        }
        let since_late_probe = &mut self.placement.since_late_probe;
        *since_late_probe = since_late_probe.saturating_add(1);
        let model = &self.model;
        self.servers.update_at(index, |state| {
            let load = (state.in_flight(), state.server.slots);
            let unread = state.prefill_tokens();
            state
                .pace
                .place(model, (ticket, request), unread, load, now);
        });
    }

    /// Records that the hub gave the grant `number` to a request that was assigned to `incarnation`.
    pub fn record_grant(&mut self, incarnation: &str, ticket: Ticket, number: u64) {
        if self.measures_engines() {
            self.servers
                .update(incarnation, |state| state.pace.record_grant(ticket, number));
        }
    }

    /// Records what the attempt with the grant `number` shows of an engine, and the load that this stated.
    pub fn record_attempt(
        &mut self,
        incarnation: &str,
        number: u64,
        outcome: AttemptOutcome,
        load: Option<&ReportedLoad>,
        now: Instant,
    ) {
        if !self.measures_engines() {
            return;
        }
        let model = &mut self.model;
        let change = self.servers.update(incarnation, |state| {
            let pace = &mut state.pace;
            match outcome {
                AttemptOutcome::Began { first_event } => {
                    pace.record_begin(model, number, first_event, load, now);
                }
                AttemptOutcome::Streamed(times) => {
                    pace.record_end(model, number, Some(times), load, now);
                }
                _ => pace.record_end(model, number, None, load, now),
            }
            pace.take_change(model)
        });
        let change = change.flatten().map(|relative_time| PaceChange {
            incarnation: incarnation.into(),
            relative_time,
        });
        self.placement.changes.extend(change);
    }

    /// How many requests were placed where they cannot be in time, since the last call.
    pub fn take_late_placements(&mut self) -> u64 {
        std::mem::take(&mut self.placement.late)
    }

    /// The engines that have become slow or have recovered, since the last call.
    pub fn take_pace_changes(&mut self) -> Vec<PaceChange> {
        std::mem::take(&mut self.placement.changes)
    }
}

/// # The choice
impl Pool {
    /// Whether engines are chosen by estimates.
    pub(super) fn uses_estimates(&self) -> bool {
        self.measures_engines() && self.model.is_measured()
    }

    /// Begins a pass over the queue.
    pub(super) fn begin_pass(&mut self) {
        self.placement.passed_over = 0;
        self.placement.blocked_below = None;
    }

    /// Begins the decision about the request at `position`.
    pub(super) fn begin_decision(&mut self, position: Position) {
        self.placement.position = Some(position);
        self.placement.waits = false;
    }

    /// Whether a request of a higher rank than the one at `position` waits for what becomes free.
    pub(super) fn is_blocked(&self, position: &Position) -> bool {
        let blocked_below = self.placement.blocked_below;
        blocked_below.is_some_and(|rank| rank < position.rank)
    }

    /// Whether the last pass over the queue left as many requests waiting as it may, beside free slots.
    pub(super) fn is_saturated(&self) -> bool {
        self.placement.passed_over >= MAX_PASSED_OVER
    }

    /// Forgets which engine is the fastest, as the servers have changed.
    pub(super) fn forget_fastest(&mut self) {
        self.placement.fastest = None;
    }

    /// Whether the request for which no engine was chosen waits for a place in time, so that others may go first.
    pub(super) fn is_passed_over(&self) -> bool {
        self.placement.waits && self.placement.passed_over < MAX_PASSED_OVER
    }

    /// Chooses among the engines at `indices`, which are usable and have room.
    pub(super) fn choose_engine(
        &mut self,
        request: &Request,
        indices: &[usize],
        now: Instant,
    ) -> Option<usize> {
        let choice = self.decide(request, indices, now);
        self.placement.waits = choice == Choice::Wait;
        match choice {
            Choice::Engine(index) => Some(index),
            Choice::Wait => {
                self.placement.passed_over += 1;
                None
            }
            Choice::Nowhere => None,
        }
    }

    /// An engine that needs a request to show its pace. Of the requests that will be late there, only some are probes, as at
    /// low load most engines need one.
    fn choose_probe(
        &mut self,
        candidates: &[Candidate],
        request: &Request,
        now: Instant,
    ) -> Option<usize> {
        let may_be_late = self.placement.since_late_probe >= LATE_PROBE_INTERVAL;
        let mut due = candidates.iter().filter(|candidate| {
            (may_be_late || candidate.risk <= 1.0)
                && self.needs_probe(candidate.index, request, now)
        });
        let probe = due.next()?;
        let is_late = probe.risk > 1.0;
        let index = probe.index;
        if is_late {
            self.placement.since_late_probe = 0;
        }
        Some(index)
    }

    fn decide(&mut self, request: &Request, indices: &[usize], now: Instant) -> Choice {
        let candidates = indices.iter();
        let candidates: Vec<_> = candidates
            .filter_map(|index| self.candidate(*index, request, now))
            .collect();
        if let Some(index) = self.choose_probe(&candidates, request, now) {
            return Choice::Engine(index);
        }
        let in_time = candidates.iter().filter(|candidate| candidate.risk <= 1.0);
        if let Some(best) = in_time.min_by(|a, b| a.cost().total_cmp(&b.cost())) {
            return Choice::Engine(best.index);
        }
        let soonest = candidates.iter();
        let soonest = soonest.min_by(|a, b| a.estimate.begin.total_cmp(&b.estimate.begin));
        let Some(soonest) = soonest else {
            // Engines that are too full, or too little known, for this request may have room for the next one.
            if indices.is_empty() {
                return Choice::Nowhere;
            }
            self.placement.blocked_below = self.placement.position.map(|position| position.rank);
            return Choice::Wait;
        };
        if self.is_worth_waiting(request, now) {
            return Choice::Wait;
        }
        self.placement.late += 1;
        Choice::Engine(soonest.index)
    }

    /// The engine at `index` for `request`; `None` if its memory is full, or too little is known of it.
    fn candidate(&self, index: usize, request: &Request, now: Instant) -> Option<Candidate> {
        let state = self.servers.at(index);
        let pace = &state.pace;
        let is_unproven = !pace.is_measured() && pace.not_begun(now) >= MAX_UNPROVEN;
        if is_unproven || !self.fits_memory(state, request, now) {
            return None;
        }
        let load = (state.in_flight(), state.server.slots);
        let unread = state.prefill_tokens();
        let estimate = pace.estimate(&self.model, request, unread, load, now);
        let budget = request.begin_by.since(now).as_secs_f64();
        let max_gap = request
            .max_gap
            .map_or(f64::INFINITY, |gap| gap.as_secs_f64());
        let risk = (estimate.begin / budget.max(f64::MIN_POSITIVE))
            .max(estimate.longest_gap / max_gap)
            .max(estimate.others_gap / pace.shortest_max_gap(now));
        Some(Candidate {
            index,
            estimate,
            risk,
        })
    }

    /// Whether the request's tokens fit in the memory of an engine, besides those in flight there.
    pub(super) fn fits_memory(&self, state: &ServerState, request: &Request, now: Instant) -> bool {
        let in_flight = state.pace.tokens(now);
        let tokens = request.prompt.0.saturating_add(request.output.0);
        let capacity = self.model.kv_capacity();
        let total = in_flight.saturating_add(tokens);
        in_flight == 0 || capacity.is_none_or(|capacity| total <= capacity.0)
    }

    /// Whether the engine at `index` needs a request to show how fast it is, and this is one that harms little.
    fn needs_probe(&self, index: usize, request: &Request, now: Instant) -> bool {
        let pace = &self.servers.at(index).pace;
        let unmeasured_for = pace.unmeasured_for(now);
        let is_due = unmeasured_for.is_some_and(|time| time >= PROBE_INTERVAL);
        is_due && pace.not_begun(now) == 0 && !is_long(request)
    }

    /// Whether a place in time is likely to become free before it is too late for the request.
    fn is_worth_waiting(&mut self, request: &Request, now: Instant) -> bool {
        // The fastest engine may be one that a restricted request must not be sent to.
        let Some(fastest) = self.fastest(now).filter(|_| !request.is_restricted()) else {
            return false;
        };
        let state = self.servers.at(fastest);
        let idle = (0, state.server.slots);
        let estimate = state
            .pace
            .estimate(&self.model, request, Tokens(0), idle, now);
        let max_gap = request
            .max_gap
            .map_or(f64::INFINITY, |gap| gap.as_secs_f64());
        if estimate.longest_gap > max_gap {
            return false;
        }
        let begin = state.pace.idle_begin(&self.model, request);
        let slack = request.begin_by.since(now).as_secs_f64() - begin;
        let ahead = self.placement.passed_over;
        let rates = self.forecast.rates(now);
        let position = self.placement.position;
        let available = position.and_then(|position| rates.available(&position));
        let ahead = f64::from(ahead) + 1.0;
        available.is_some_and(|available| seconds_for(ahead, available) * WAIT_MARGIN <= slack)
    }

    /// The index of the fastest usable engine that was measured.
    fn fastest(&mut self, now: Instant) -> Option<usize> {
        let last = self.placement.fastest;
        let last = last.filter(|(index, at)| {
            now.since(*at) < FASTEST_LIFETIME && *index < self.servers.all().count()
        });
        if let Some((index, _)) = last {
            return Some(index);
        }
        let all = self.servers.all().enumerate();
        let usable = all.filter(|(_, state)| {
            state.accepts_work() && state.pace.is_measured() && !state.health.is_suspect(now)
        });
        let pace = |state: &ServerState| state.pace.idle_begin(&self.model, &Request::default());
        let fastest = usable.min_by(|(_, a), (_, b)| pace(a).total_cmp(&pace(b)));
        let index = fastest.map(|(index, _)| index)?;
        self.placement.fastest = Some((index, now));
        Some(index)
    }
}

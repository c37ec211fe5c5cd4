//! Schedules when rejected callers should retry, and recognises them when they return.
//!
//! Requests are rejected only while new ones need all slots, and whoever returns into such an overload takes the slot of
//! another request that would still be in time, or finds none. So a caller is told the latest time that it honours, when
//! the load is most likely to have eased, or else the latest time before at which fewer callers return than can be
//! served.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::quarantine::Identity;
use crate::route::Rank;

use super::Part;
use super::Pool;
use super::forecast::Rate;
use super::forecast::Rates;
use super::wait_limit::MAX_RETRY_AFTER_DIVISOR;

/// The length of the steps in which returns are counted: short enough that the returns of one step fit into a queue that
/// is served within the latency objectives.
const RETURN_STEP: Duration = Duration::from_millis(50);

/// The shortest time after which a caller should retry. A request that could be served sooner stays queued instead.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The longest time after which a caller should retry; load spikes last some seconds.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// How much earlier than scheduled a caller may return: `Retry-After` is rounded to milliseconds.
const EARLY_TOLERANCE: Duration = Duration::from_millis(2);

/// How long after its time a caller is still recognised, for instance one on a busy host.
const MAX_LATENESS: Duration = Duration::from_secs(2);

/// The maximum number of rejected requests that are remembered: more than a service of the largest deployment rejects
/// within the time that callers wait.
const MAX_REJECTED: usize = 16_384;

/// A request that is rejected for lack of room.
#[derive(Clone, Debug)]
pub struct Rejected {
    /// Its identity, by which the caller is recognised.
    pub identity: Identity,
    /// Its priority.
    pub rank: Rank,
    /// When its caller first sent it.
    pub arrived: Instant,
    /// When it must be complete.
    pub deadline: Instant,
    /// What was known of its caller, if it had been rejected before.
    pub returned: Option<Returned>,
}

/// A caller that has returned after a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Returned {
    /// When it first sent its request.
    pub arrived: Instant,
    /// The arrival by which it is queued.
    pub queued_as: Instant,
    /// The time that it had been told.
    pub due: Instant,
}

/// A rejected request whose caller has not returned.
#[derive(Clone, Copy, Debug)]
struct Expected {
    rank: Rank,
    arrived: Instant,
    due: Instant,
}

/// The times at which rejected callers were told to retry.
#[derive(Clone, Debug, Default)]
pub(super) struct RetrySchedule {
    /// How many callers return in each step.
    returns: BTreeMap<u64, u32>,
    /// The last scheduled time of each rank.
    last_due: BTreeMap<Rank, Instant>,
    expected: HashMap<Identity, Expected>,
    /// The expected callers by their time.
    by_time: BTreeSet<(Instant, Identity)>,
    /// Callers that returned at their time.
    returned: BTreeMap<Rank, Rate>,
}

fn step_of(time: Instant) -> u64 {
    let steps = time.since(Instant::default()).as_micros() / RETURN_STEP.as_micros();
    u64::try_from(steps).unwrap_or(u64::MAX)
}

fn start_of(step: u64) -> Instant {
    let step_micros = u64::try_from(RETURN_STEP.as_micros()).unwrap_or(u64::MAX);
    Instant(step.saturating_mul(step_micros))
}

/// How many of `per_second` events fall into a step, so that the sum over steps is exact.
fn part_of_step(per_second: f64, step: u64) -> u32 {
    let interval = interval(per_second).as_nanos().max(1);
    let until = |step: u64| u128::from(start_of(step).0) * 1_000 / interval;
    u32::try_from(until(step + 1) - until(step)).unwrap_or(u32::MAX)
}

/// The time between two of `per_second` events.
fn interval(per_second: f64) -> Duration {
    if per_second <= 0.0 {
        return Duration::MAX;
    }
    Duration::try_from_secs_f64(1.0 / per_second).unwrap_or(Duration::MAX)
}

impl RetrySchedule {
    /// Chooses when the caller of a rejected request should retry, and remembers it. Of the slots that become free, higher
    /// ranks leave `slots` per second.
    fn schedule(&mut self, rejected: &Rejected, slots: f64, now: Instant) -> Instant {
        self.forget(now);
        let (earliest, latest) = self.limits(rejected, now);
        let steps = step_of(earliest)..=step_of(latest);
        let mut times = steps.rev();
        let free = times.find_map(|step| self.time_in(step, slots));
        let due = free.map_or(latest, |time| time.clamp(earliest, latest));
        let expected = Expected {
            rank: rejected.rank,
            arrived: rejected.arrived,
            due,
        };
        self.last_due.insert(rejected.rank, due);
        self.expect(rejected.identity.clone(), expected);
        due
    }

    /// The earliest and the latest time that a caller may be told: within what it honours, no earlier than more
    /// urgent callers, and no earlier than the time that it did not wait for.
    fn limits(&self, rejected: &Rejected, now: Instant) -> (Instant, Instant) {
        let honoured = rejected.deadline.since(now) / MAX_RETRY_AFTER_DIVISOR;
        let first = now + MIN_RETRY_AFTER;
        let latest = now + honoured.min(MAX_RETRY_AFTER);
        let more_urgent = self.last_due.range(..rejected.rank).map(|(_, due)| *due);
        let more_urgent = more_urgent.filter(|due| *due <= latest);
        let missed = rejected.returned.map(|returned| returned.due);
        let earliest = more_urgent.chain(missed).fold(first, Instant::max);
        (earliest.min(latest), latest)
    }

    /// The time in a step for one more caller; `None` if so many return in it as can be served.
    fn time_in(&self, step: u64, per_second: f64) -> Option<Instant> {
        let max = part_of_step(per_second, step);
        let returns = self.returns.get(&step).copied().unwrap_or(0);
        (returns < max).then(|| start_of(step) + RETURN_STEP * returns / max)
    }

    fn expect(&mut self, identity: Identity, expected: Expected) {
        self.remove(&identity);
        if self.expected.len() >= MAX_REJECTED
            && let Some((_, first)) = self.by_time.first().cloned()
        {
            self.remove(&first);
        }
        *self.returns.entry(step_of(expected.due)).or_default() += 1;
        self.by_time.insert((expected.due, identity.clone()));
        self.expected.insert(identity, expected);
    }

    /// Forgets callers that have not returned for a long time after their time, and the steps that have passed.
    fn forget(&mut self, now: Instant) {
        while let Some((due, _)) = self.by_time.first()
            && now.since(*due) > MAX_LATENESS
            && let Some((_, identity)) = self.by_time.pop_first()
        {
            self.expected.remove(&identity);
        }
        self.returns = self.returns.split_off(&step_of(now));
    }

    /// Removes an expected caller; one that is due later does not return any more.
    fn remove(&mut self, identity: &Identity) -> Option<Expected> {
        let expected = self.expected.remove(identity)?;
        self.by_time.remove(&(expected.due, identity.clone()));
        if let Some(count) = self.returns.get_mut(&step_of(expected.due)) {
            *count = count.saturating_sub(1);
        }
        Some(expected)
    }

    /// Recognises a caller that returns, and says by which arrival it is queued. One that returns at its time is queued
    /// by its first arrival, unless the service is still overloaded: it would take the slots of requests that would be
    /// in time. One that returns early is queued as if it came at its time.
    fn recognise(
        &mut self,
        identity: &Identity,
        is_overloaded: impl FnOnce(Rank) -> bool,
        now: Instant,
    ) -> Option<Returned> {
        self.forget(now);
        let expected = self.remove(identity)?;
        let is_early = now + EARLY_TOLERANCE < expected.due;
        if !is_early {
            self.returned.entry(expected.rank).or_default().add(now);
        }
        let queued_as = if is_early {
            expected.due
        } else if is_overloaded(expected.rank) {
            now
        } else {
            expected.arrived
        };
        Some(Returned {
            arrived: expected.arrived,
            queued_as,
            due: expected.due,
        })
    }

    /// How many callers of a rank return at their time per second.
    fn returned_per_second(&self, rank: Rank, now: Instant) -> f64 {
        let returned = self.returned.get(&rank);
        returned.map_or(0.0, |rate| rate.per_second(now))
    }
}

/// # Retry times
impl Pool {
    /// Recognises a caller that returns after a rejection.
    pub fn recognise(&mut self, identity: &Identity, now: Instant) -> Option<Returned> {
        if !self.uses(Part::RetryTimes) || !self.retries.expected.contains_key(identity) {
            return None;
        }
        let rates = self.new_rates(now);
        let is_overloaded = |rank| {
            let slots = rates.slots().unwrap_or(f64::INFINITY);
            rates.arrivals_of(|other| other <= rank) >= slots
        };
        self.retries.recognise(identity, is_overloaded, now)
    }

    /// Chooses after how long the caller of a rejected request should retry; `None` if that is not known.
    pub fn schedule_retry(&mut self, rejected: &Rejected, now: Instant) -> Option<Duration> {
        if !self.uses(Part::RetryTimes) {
            return None;
        }
        let rates = self.new_rates(now).capped(self.total_limit_rate());
        let slots = rates.slots()?;
        let left = slots - rates.arrivals_of(|other| other < rejected.rank);
        // Where higher ranks need all slots, there is room only once they need hardly any.
        let left = if left > 0.0 { left } else { slots };
        let due = self.retries.schedule(rejected, left, now);
        Some(due.since(now))
    }

    /// The rates of assignments and of new requests: callers that return at their time are not counted.
    pub(super) fn new_rates(&self, now: Instant) -> Rates {
        let returned = |rank| self.retries.returned_per_second(rank, now);
        self.forecast.rates_when_full(now).without(returned)
    }
}

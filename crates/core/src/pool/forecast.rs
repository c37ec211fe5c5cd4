//! Predicts how long queued requests wait until they are assigned to a server.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::route::Rank;

use super::queue::Position;

/// The time constant, in seconds, of the exponential decay of counts. It is long enough to cover some tens of
/// assignments of a busy service, and short enough to notice the start of a load spike before callers have waited for
/// long.
const DECAY_SECONDS: f64 = 0.5;

/// The lowest decayed count of assignments from which a wait is predicted; fewer are not significant.
const MIN_ASSIGNMENTS: f64 = 2.0;

/// How many more assignments are assumed than the few that were counted: where three are expected, none is counted in one
/// case of twenty.
const FEW_ASSIGNMENTS_MARGIN: f64 = 3.0;

/// An exponentially decaying count of events.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    count: f64,
    updated: Instant,
}

impl Rate {
    pub(super) fn add(&mut self, now: Instant) {
        self.count = self.decayed(now) + 1.0;
        self.updated = now;
    }

    /// The count after its decay until `now`.
    fn decayed(&self, now: Instant) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.count * (-elapsed / DECAY_SECONDS).exp()
    }

    pub(super) fn per_second(&self, now: Instant) -> f64 {
        self.decayed(now) / DECAY_SECONDS
    }
}

/// A time during which requests wait because all servers are full, with pauses shorter than [`DECAY_SECONDS`].
#[derive(Clone, Copy, Debug)]
struct FullPeriod {
    began: Instant,
    last_seen: Instant,
    /// The assignments since it began.
    assignments: Rate,
}

/// Measures the rate of assignments, and the arrival rate of requests of each rank.
#[derive(Clone, Debug, Default)]
pub(super) struct Forecast {
    assignments: Rate,
    arrivals: BTreeMap<Rank, Rate>,
    full: Option<FullPeriod>,
}

impl Forecast {
    /// Counts a request that arrives.
    pub(super) fn record_arrival(&mut self, rank: Rank, now: Instant) {
        self.arrivals.entry(rank).or_default().add(now);
    }

    /// Counts a request that is assigned to a server.
    pub(super) fn record_assignment(&mut self, now: Instant) {
        self.assignments.add(now);
        if let Some(full) = &mut self.full {
            full.assignments.add(now);
        }
    }

    /// Records that requests wait because all servers are full. Assignments before that show how many requests arrived,
    /// not how many slots become free, so they are counted anew.
    pub(super) fn record_full(&mut self, now: Instant) {
        let full = self.current_full_period(now).unwrap_or(FullPeriod {
            began: now,
            last_seen: now,
            assignments: Rate::default(),
        });
        self.full = Some(FullPeriod {
            last_seen: now,
            ..full
        });
    }

    /// The rates at `now`.
    pub(super) fn rates(&self, now: Instant) -> Rates {
        let arrivals = self.arrivals.iter();
        Rates {
            assignments: (self.assignments.decayed(now) >= MIN_ASSIGNMENTS)
                .then(|| self.assignments.per_second(now)),
            arrivals: arrivals
                .map(|(rank, rate)| (*rank, rate.per_second(now)))
                .collect(),
        }
    }
}

/// # While all servers are full
impl Forecast {
    /// The rates at `now`, also if only few assignments have been counted since the servers became full. The rate of
    /// assignments is then the highest that is plausible; it is not known if the servers have not been full lately.
    pub(super) fn rates_when_full(&self, now: Instant) -> Rates {
        let full = self.current_full_period(now);
        Rates {
            assignments: full.and_then(|full| full.assignments_per_second(now)),
            ..self.rates(now)
        }
    }

    fn current_full_period(&self, now: Instant) -> Option<FullPeriod> {
        self.full
            .filter(|full| now.since(full.last_seen).as_secs_f64() < DECAY_SECONDS)
    }
}

impl FullPeriod {
    /// `None` in the moment in which it begins.
    fn assignments_per_second(&self, now: Instant) -> Option<f64> {
        let count = self.assignments.decayed(now);
        let age = now.since(self.began).as_secs_f64();
        // The time without decay that the decaying count is equivalent to.
        let counted = DECAY_SECONDS * (1.0 - (-age / DECAY_SECONDS).exp());
        let margin = if count < MIN_ASSIGNMENTS {
            FEW_ASSIGNMENTS_MARGIN
        } else {
            0.0
        };
        (age > 0.0).then(|| (count + margin) / counted)
    }
}

/// Assignments and arrivals of each rank, per second.
#[derive(Clone, Debug)]
pub(super) struct Rates {
    /// `None` if there were too few to tell.
    assignments: Option<f64>,
    arrivals: Vec<(Rank, f64)>,
}

impl Rates {
    /// The same rates with assignments limited to `max` per second.
    pub(super) fn capped(self, max: Option<f64>) -> Self {
        let assignments = match (self.assignments, max) {
            (Some(assignments), Some(max)) => Some(assignments.min(max)),
            (assignments, max) => assignments.or(max),
        };
        Self {
            assignments,
            ..self
        }
    }

    /// The same rates with that of assignments unknown if `condition` holds.
    pub(super) fn unknown_if(self, condition: bool) -> Self {
        Self {
            assignments: self.assignments.filter(|_| !condition),
            ..self
        }
    }

    /// The same rates without arrivals that `other` counts too.
    pub(super) fn without(mut self, other: impl Fn(Rank) -> f64) -> Self {
        for (rank, rate) in &mut self.arrivals {
            *rate = (*rate - other(*rank)).max(0.0);
        }
        self
    }

    /// The slots that become free.
    pub(super) fn slots(&self) -> Option<f64> {
        self.assignments
    }

    /// The arrivals of the ranks that `counts`.
    pub(super) fn arrivals_of(&self, counts: impl Fn(Rank) -> bool) -> f64 {
        let counted = self.arrivals.iter().filter(|(rank, _)| counts(*rank));
        counted.map(|(_, rate)| rate).sum()
    }

    /// How many assignments per second are left for the request at `position`: requests that will arrive and be served
    /// before it because of their rank use up the others. `None` if the rate of assignments is not known.
    pub(super) fn available(&self, position: &Position) -> Option<f64> {
        let used = self.arrivals_of(|rank| position.yields_to(rank));
        Some(self.assignments? - used)
    }
}

/// How many seconds `requests` take at a rate per second.
pub(super) fn seconds_for(requests: f64, rate: f64) -> f64 {
    if rate > 0.0 {
        requests / rate
    } else {
        f64::INFINITY
    }
}

/// The duration of a wait in seconds.
pub(super) fn to_duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

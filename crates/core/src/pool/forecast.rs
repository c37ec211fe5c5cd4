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

/// Measures the rate of assignments, and the arrival rate of requests of each rank.
#[derive(Clone, Debug, Default)]
pub(super) struct Forecast {
    assignments: Rate,
    arrivals: BTreeMap<Rank, Rate>,
}

impl Forecast {
    /// Counts a request that arrives.
    pub(super) fn record_arrival(&mut self, rank: Rank, now: Instant) {
        self.arrivals.entry(rank).or_default().add(now);
    }

    /// Counts a request that is assigned to a server.
    pub(super) fn record_assignment(&mut self, now: Instant) {
        self.assignments.add(now);
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

    /// How many assignments per second are left for the request at `position`: requests that will arrive and be served
    /// before it because of their rank use up the others. `None` if the rate of assignments is not known.
    pub(super) fn available(&self, position: &Position) -> Option<f64> {
        let preferred = self.arrivals.iter();
        let preferred = preferred.filter(|(rank, _)| position.yields_to(*rank));
        let used: f64 = preferred.map(|(_, rate)| rate).sum();
        Some(self.assignments? - used)
    }

    /// How many requests of `rank` arrive per second.
    pub(super) fn arrivals(&self, rank: Rank) -> f64 {
        let mut arrivals = self.arrivals.iter();
        let arrivals = arrivals.find(|(other, _)| *other == rank);
        arrivals.map_or(0.0, |(_, rate)| *rate)
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

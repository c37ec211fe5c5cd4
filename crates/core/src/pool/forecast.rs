//! How long a request is likely to wait for its turn.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::route::Rank;

use super::queue::Position;

/// The time in which what was counted fades to a third, in seconds: long enough for some tens of
/// turns of a busy service, short enough for the beginning of a crowd to show before callers have
/// waited for long.
const FADES: f64 = 0.5;

/// The least number of turns in that time from which a wait is forecast: fewer tell nothing.
const LEAST: f64 = 2.0;

/// How often something lately happened.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    count: f64,
    at: Instant,
}

impl Rate {
    fn add(&mut self, now: Instant) {
        self.count = self.faded(now) + 1.0;
        self.at = now;
    }

    /// What is left at `now` of what was counted.
    fn faded(&self, now: Instant) -> f64 {
        let time = now.since(self.at).as_secs_f64();
        self.count * (-time / FADES).exp()
    }

    fn per_second(&self, now: Instant) -> f64 {
        self.faded(now) / FADES
    }
}

/// How fast turns come, and how fast requests of each rank do.
#[derive(Clone, Debug, Default)]
pub(super) struct Forecast {
    turns: Rate,
    asked: BTreeMap<Rank, Rate>,
}

impl Forecast {
    /// Counts a request that arrives.
    pub(super) fn asked(&mut self, rank: Rank, now: Instant) {
        self.asked.entry(rank).or_default().add(now);
    }

    /// Counts a turn that is given.
    pub(super) fn turn(&mut self, now: Instant) {
        self.turns.add(now);
    }

    /// The rates at `now`.
    pub(super) fn rates(&self, now: Instant) -> Rates {
        let asked = self.asked.iter();
        Rates {
            turns: (self.turns.faded(now) >= LEAST).then(|| self.turns.per_second(now)),
            asked: asked
                .map(|(rank, rate)| (*rank, rate.per_second(now)))
                .collect(),
        }
    }
}

/// How often turns come and requests of each rank do, by the second.
#[derive(Clone, Debug)]
pub(super) struct Rates {
    /// None where nothing is known.
    turns: Option<f64>,
    asked: Vec<(Rank, f64)>,
}

impl Rates {
    /// The same where no more than `most` turns a second can come.
    pub(super) fn at_most(self, most: Option<f64>) -> Self {
        let turns = match (self.turns, most) {
            (Some(turns), Some(most)) => Some(turns.min(most)),
            (turns, most) => turns.or(most),
        };
        Self { turns, ..self }
    }

    /// How long the request at `place` is likely to wait, with `ahead` others before it: those who
    /// will come and go before it take their part of the turns. None where nothing is known.
    pub(super) fn wait(&self, place: &Position, ahead: usize) -> Option<Duration> {
        let before = self.asked.iter();
        let before = before.filter(|(rank, _)| place.goes_after(*rank));
        let taken: f64 = before.map(|(_, rate)| rate).sum();
        let left = self.turns? - taken;
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX)) + 1.0;
        let wait = if left > 0.0 {
            ahead / left
        } else {
            f64::INFINITY
        };
        Some(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }
}

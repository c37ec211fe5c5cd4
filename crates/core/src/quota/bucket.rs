//! A bucket that fills at a rate.

use crate::clock::Instant;

/// A bucket of tokens; it may be drawn below zero, and is paid back before anything more is let in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    level: f64,
    at: Instant,
}

impl Bucket {
    /// A bucket that holds `level` at `now`.
    #[must_use]
    pub fn new(level: f64, now: Instant) -> Self {
        Self { level, at: now }
    }

    /// What it holds at `now`, filled at `rate` a second up to `most`.
    pub fn fill(&mut self, rate: f64, most: f64, now: Instant) -> f64 {
        let gained = rate * now.since(self.at).as_secs_f64();
        self.level = (self.level + gained).min(most);
        self.at = now;
        self.level
    }

    /// Says that it is filled from `since` on, and was not before.
    pub fn start_at(&mut self, since: Instant) {
        self.at = self.at.max(since);
    }

    /// What it held when it was last filled or drawn from.
    #[must_use]
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Takes `amount` out.
    pub fn charge(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Lowers the level to `level`, where it is higher.
    pub fn cap(&mut self, level: f64) {
        self.level = self.level.min(level);
    }
}

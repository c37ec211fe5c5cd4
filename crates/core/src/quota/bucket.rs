//! A token bucket.

use std::time::Duration;

use crate::clock::Instant;

/// A bucket of tokens that fills at a rate.
///
/// Its level may become negative; that is made up for before anything more is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    level: f64,
    updated_at: Instant,
}

impl Bucket {
    /// Creates a bucket that holds `level` tokens at `now`.
    #[must_use]
    pub fn new(level: f64, now: Instant) -> Self {
        Self {
            level,
            updated_at: now,
        }
    }

    /// Fills the bucket at `rate` tokens per second up to `burst`, and returns its level at `now`.
    pub fn fill(&mut self, rate: f64, burst: f64, now: Instant) -> f64 {
        let gained = rate * now.since(self.updated_at).as_secs_f64();
        self.level = (self.level + gained).min(burst);
        self.updated_at = now;
        self.level
    }

    /// Returns the time since the last fill.
    #[must_use]
    pub fn time_since_update(&self, now: Instant) -> Duration {
        now.since(self.updated_at)
    }

    /// Makes the bucket gain nothing before `start`.
    pub fn start_at(&mut self, start: Instant) {
        self.updated_at = self.updated_at.max(start);
    }

    /// Returns the level after the last fill or charge.
    #[must_use]
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Removes `amount` tokens.
    pub fn charge(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Reduces the level to `level` if it is higher.
    pub fn cap(&mut self, level: f64) {
        self.level = self.level.min(level);
    }
}

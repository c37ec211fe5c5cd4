//! How much was let in within a window that ends now.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;

/// In how many steps a window is counted; what is in the oldest one counts whole.
const STEPS: u32 = 32;

/// A sum over a window that moves.
#[derive(Clone, Debug, Default)]
pub struct Window {
    steps: VecDeque<(Instant, f64)>,
    sum: f64,
}

impl Window {
    /// Counts `amount` at `now`.
    pub fn add(&mut self, amount: f64, length: Duration, now: Instant) {
        self.sum += amount;
        match self.steps.back_mut() {
            Some((began, step)) if now.since(*began) < length / STEPS => *step += amount,
            _ => self.steps.push_back((now, amount)),
        }
    }

    /// Counts all that was counted as `part` of it.
    pub fn scale(&mut self, part: f64) {
        for (_, step) in &mut self.steps {
            *step *= part;
        }
        self.sum *= part;
    }

    /// What was counted within `length` before `now`.
    pub fn sum(&mut self, length: Duration, now: Instant) -> f64 {
        let keep = length + length / STEPS;
        while let Some((began, step)) = self.steps.front().copied()
            && now.since(began) >= keep
        {
            self.sum -= step;
            self.steps.pop_front();
        }
        self.sum
    }
}

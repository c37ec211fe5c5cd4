//! Limits how many retries a service may get from all gateways together.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;

/// The share of the minimum number of retries that gateways divide among themselves. The rest is a reserve, because the
/// hub grants some retries as well, and because a gateway that restarts no longer knows how many it used before.
const GATEWAYS_MIN_RETRIES_FRACTION: f64 = 0.5;

/// How many steps the window is divided into for counting.
const STEPS_PER_WINDOW: u32 = 10;

/// How many retries a deployment allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries allowed for each first attempt.
    pub ratio: f64,
    /// Retries that are always allowed in a window, over all gateways.
    pub min_retries: f64,
    /// The length of the window.
    pub window: Duration,
}

/// Counts of one step of the window.
#[derive(Clone, Copy, Debug)]
struct Step {
    began: Instant,
    first_attempts: u32,
    retries: u32,
    /// When the last retry was counted, or when the step began if there was none.
    last_retry: Instant,
}

/// What a gateway's part of a retry budget holds at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Balance {
    /// First attempts within the window.
    pub first_attempts: u32,
    /// Retries within the window.
    pub retries: u32,
    /// Retries left; negative if more were made than are allowed now.
    pub left: f64,
}

/// A gateway's part of a service's retry budget: a ratio of the requests that it took itself, and its share of the
/// minimum number of retries. It needs no messages between gateways.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    allowance: RetryAllowance,
    steps: VecDeque<Step>,
}

impl RetryBudget {
    /// An unused budget.
    #[must_use]
    pub fn new(allowance: RetryAllowance) -> Self {
        Self {
            allowance,
            steps: VecDeque::new(),
        }
    }

    /// Counts the first attempt of a request.
    pub fn count_request(&mut self, now: Instant) {
        self.step(now).first_attempts += 1;
    }

    /// Whether a gateway that holds `share` (0 to 1) of the minimum number of retries may retry now; if so, the retry
    /// is counted.
    pub fn try_acquire(&mut self, share: f64, now: Instant) -> bool {
        if !self.allows(share, now) {
            return false;
        }
        let step = self.step(now);
        step.retries += 1;
        step.last_retry = now;
        true
    }

    /// Whether a gateway that holds `share` (0 to 1) of the minimum number of retries may retry now.
    pub fn allows(&mut self, share: f64, now: Instant) -> bool {
        self.balance(share, now).left >= 1.0
    }

    /// Returns what a gateway that holds `share` (0 to 1) of the minimum number of retries has now.
    pub fn balance(&mut self, share: f64, now: Instant) -> Balance {
        self.step(now);
        let window = self.allowance.window;
        let steps = self.steps.iter();
        let recent = steps.filter(|step| now.since(step.began) < window);
        let first_attempts: u32 = recent.map(|step| step.first_attempts).sum();
        let retries: u32 = self.steps.iter().map(|step| step.retries).sum();
        let min_retries = self.allowance.min_retries * GATEWAYS_MIN_RETRIES_FRACTION * share;
        let max_retries = min_retries + self.allowance.ratio * f64::from(first_attempts);
        Balance {
            first_attempts,
            retries,
            left: max_retries - f64::from(retries),
        }
    }

    /// The step that `now` falls in. Steps that left the window are dropped.
    ///
    /// A step leaves the window with its last retry, not with its beginning. Otherwise retries made at its end would
    /// be granted a second time within the same window.
    fn step(&mut self, now: Instant) -> &mut Step {
        let length = self.allowance.window / STEPS_PER_WINDOW;
        while let Some(oldest) = self.steps.front()
            && now.since(oldest.last_retry) >= self.allowance.window
        {
            self.steps.pop_front();
        }
        let needs_new_step = self
            .steps
            .back()
            .is_none_or(|newest| now.since(newest.began) >= length);
        if needs_new_step {
            self.steps.push_back(Step {
                began: now,
                first_attempts: 0,
                retries: 0,
                last_retry: now,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}

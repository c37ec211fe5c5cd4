//! How many sendings past the first a service may get, over all gateways together.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;

/// The part of the floor that is shared out: the hub grants some, and a gateway that starts anew has forgotten what it
/// spent before.
const SHARED_OUT: f64 = 0.5;

/// How many steps a window is counted in.
const STEPS: u32 = 10;

/// What a deployment allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Further sendings for each first one.
    pub ratio: f64,
    /// Further sendings in a window at all times, over all gateways.
    pub min_retries: f64,
    /// The window's length.
    pub window: Duration,
}

/// One step of the window.
#[derive(Clone, Copy, Debug)]
struct Step {
    began: Instant,
    firsts: u32,
    further: u32,
    /// When the last further sending was counted, else when it began.
    spent: Instant,
}

/// A gateway's part of a service's budget: so much for each request that it took itself, and its
/// part of the floor. No word with others is needed.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    allowed: RetryAllowance,
    steps: VecDeque<Step>,
}

impl RetryBudget {
    /// A budget of which nothing is spent.
    #[must_use]
    pub fn new(allowed: RetryAllowance) -> Self {
        Self {
            allowed,
            steps: VecDeque::new(),
        }
    }

    /// Counts a request's first sending.
    pub fn count_request(&mut self, now: Instant) {
        self.step(now).firsts += 1;
    }

    /// Whether a further sending is allowed now to a gateway that holds `part` (0 to 1) of the floor; if
    /// so it is counted.
    pub fn try_acquire(&mut self, part: f64, now: Instant) -> bool {
        if !self.allows(part, now) {
            return false;
        }
        let step = self.step(now);
        step.further += 1;
        step.spent = now;
        true
    }

    /// Whether a further sending is allowed now to a gateway that holds `part` (0 to 1) of the floor.
    pub fn allows(&mut self, part: f64, now: Instant) -> bool {
        self.step(now);
        let window = self.allowed.window;
        let steps = self.steps.iter();
        let firsts = steps.filter(|step| now.since(step.began) < window);
        let firsts: u32 = firsts.map(|step| step.firsts).sum();
        let further: u32 = self.steps.iter().map(|step| step.further).sum();
        let floor = self.allowed.min_retries * SHARED_OUT * part;
        let most = floor + self.allowed.ratio * f64::from(firsts);
        f64::from(further) + 1.0 <= most
    }

    /// The step that `now` falls in; steps that left the window are dropped.
    ///
    /// One leaves with its last further sending, not with its beginning: what was sent at its end would be given out
    /// once more within the window.
    fn step(&mut self, now: Instant) -> &mut Step {
        let length = self.allowed.window / STEPS;
        while let Some(oldest) = self.steps.front()
            && now.since(oldest.spent) >= self.allowed.window
        {
            self.steps.pop_front();
        }
        let stale = self
            .steps
            .back()
            .is_none_or(|newest| now.since(newest.began) >= length);
        if stale {
            self.steps.push_back(Step {
                began: now,
                firsts: 0,
                further: 0,
                spent: now,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}

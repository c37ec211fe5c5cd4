//! Limits how many retries a service may get from all gateways together.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::gateway::GatewayShare;
use crate::quota::Share;

/// The fraction of the minimum number of retries that gateways divide among themselves, so that they can retry without
/// the hub. The hub grants the rest to whichever gateway needs it.
pub const GATEWAYS_MIN_RETRIES_FRACTION: f64 = 0.2;

/// How many steps the window is divided into for counting.
const STEPS_PER_WINDOW: u32 = 200;

/// The fraction of a request's credit that pays for retries in each of two windows: the one in which it was sent, and the
/// next one.
///
/// With all of the credit in one of them, either hardly a retry is left when attempts begin to fail, or retries begin a
/// window after the load.
const CREDIT_FRACTION_PER_WINDOW: f64 = 0.5;

/// How many retries a deployment allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries allowed for each request of a client.
    pub ratio: f64,
    /// Retries that are always allowed in a window, over all gateways.
    pub min_retries: f64,
    /// The length of the window, a whole number of milliseconds.
    pub window: Duration,
}

/// Counts of one step of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Step {
    /// Requests that were sent in this step or a later one.
    requests: u32,
    /// Retries.
    retries: u32,
    /// Retries that the gateway gained with its share of the minimum number.
    gained: f64,
}

/// What a gateway's part of a retry budget holds at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Balance {
    /// Requests that were sent within the window or the one before.
    pub requests: u32,
    /// Retries within the window.
    pub retries: u32,
    /// The gateway's share of the minimum number of retries.
    pub share: f64,
    /// Retries left; negative if more were made than are allowed now.
    pub left: f64,
}

/// A gateway's part of a service's retry budget: a ratio of the requests that it took itself, and its share of the
/// minimum number of retries. It needs no messages between gateways.
///
/// The parts of all gateways add up to no more than the budget in any window, through restarts and changes of shares,
/// because each keeps to the same linear bound. For every start `s` of a window that holds a retry,
///
/// `retries since s + gained since s <= share of the minimum + ratio * (requests sent since s - window) / 2`
///
/// That is the mean of what the window and the one before it allow. A gateway may not choose for itself which of the two
/// pays: if it did, both could pay, at different gateways. A share that is gained counts as used for one window, as its
/// former holder, or a former process on the same host, may have used it, unless the hub announces that none has.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use curlewlift_core::clock::Instant;
/// use curlewlift_core::pool::RetryAllowance;
/// use curlewlift_core::pool::RetryBudget;
/// let window = Duration::from_secs(10);
/// let mut budget = RetryBudget::new(RetryAllowance { ratio: 0.2, min_retries: 60.0, window });
/// let sent = Instant::default();
/// (0..20).for_each(|_| budget.count_request(sent));
/// let now = sent + Duration::from_secs(1);
/// assert!(budget.try_acquire(now));
/// assert!(budget.try_acquire(now));
/// assert!(!budget.try_acquire(now));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    allowance: RetryAllowance,
    share: Share,
    /// The steps in which something was counted, by their number since the start of the clock.
    steps: BTreeMap<u64, Step>,
}

impl RetryBudget {
    /// Creates an unused budget without a share of the minimum number of retries.
    #[must_use]
    pub fn new(allowance: RetryAllowance) -> Self {
        Self {
            allowance,
            share: Share::default(),
            steps: BTreeMap::new(),
        }
    }

    /// Sets the gateway's share of the minimum number of retries from the hub's reply to a poll that was sent at
    /// `polled_at`. What it gains counts as used unless no process has used it before.
    ///
    /// Returns the part of a share that it gives up unused: the smaller share, and what requests have earned, cover all
    /// that this process counts as used in any window. So another gateway may use that part at once.
    pub fn set_share(&mut self, announced: &GatewayShare, polled_at: Instant, now: Instant) -> f64 {
        let former = self.share.get(now);
        self.share.set(announced.fraction, polled_at);
        let gained = self.share.get(now) - former;
        if gained > 0.0 && !announced.never_held {
            let gained = self.min_retries(gained);
            self.step(now).gained += gained;
        }
        let overused = -self.balance(now).left.min(0.0);
        let overused_share = overused / self.min_retries(1.0).max(f64::MIN_POSITIVE);
        (-gained - overused_share).max(0.0)
    }

    /// Counts a request that a client sent at or after `sent_after`.
    pub fn count_request(&mut self, sent_after: Instant) {
        self.step(sent_after).requests += 1;
    }

    /// Counts a retry that is sent now, if one is left.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        if !self.allows(now) {
            return false;
        }
        self.step(now).retries += 1;
        true
    }

    /// Returns whether a retry is left now.
    #[must_use]
    pub fn allows(&self, now: Instant) -> bool {
        self.balance(now).left >= 1.0
    }

    /// Returns what counts now, and what is left.
    #[must_use]
    pub fn balance(&self, now: Instant) -> Balance {
        let newest = self.step_number(now);
        let oldest = window_before(newest);
        let share = self.share.get(now);
        let min_retries = self.min_retries(share);
        let mut balance = Balance {
            share,
            left: f64::INFINITY,
            ..Balance::default()
        };
        let mut gained = 0.0;
        let mut earlier = self.steps.range(..=newest).rev().peekable();
        // The windows that hold `now` start in these steps. A window counts all retries of its first step, but no
        // request of the step in which the window before it starts.
        let now_step = (&newest, &Step::default());
        let starts = self.steps.range(oldest..=newest).rev();
        for (start, step) in std::iter::once(now_step).chain(starts) {
            while let Some((_, step)) = earlier.next_if(|(step, _)| **step > window_before(*start))
            {
                balance.requests += step.requests;
            }
            balance.retries += step.retries;
            gained += step.gained;
            let credit = f64::from(balance.requests) * CREDIT_FRACTION_PER_WINDOW;
            let used = f64::from(balance.retries) + gained;
            let left = min_retries + self.allowance.ratio * credit - used;
            balance.left = balance.left.min(left);
        }
        balance
    }

    /// The part of the minimum number of retries that belongs to `share`.
    fn min_retries(&self, share: f64) -> f64 {
        self.allowance.min_retries * GATEWAYS_MIN_RETRIES_FRACTION * share
    }

    /// The number of the step that `at` falls in. It leaves room for two windows before the start of the clock.
    fn step_number(&self, at: Instant) -> u64 {
        let step = self.allowance.window / STEPS_PER_WINDOW;
        let micros = u64::try_from(step.as_micros()).unwrap_or(u64::MAX).max(1);
        at.0 / micros + 2 * u64::from(STEPS_PER_WINDOW)
    }

    /// The step of `at`. Steps that no longer count then are dropped.
    fn step(&mut self, at: Instant) -> &mut Step {
        let number = self.step_number(at);
        let first = window_before(window_before(number));
        while let Some(oldest) = self.steps.first_entry()
            && *oldest.key() < first
        {
            oldest.remove();
        }
        self.steps.entry(number).or_default()
    }
}

/// The step one window before the step `number`.
fn window_before(number: u64) -> u64 {
    number.saturating_sub(u64::from(STEPS_PER_WINDOW))
}

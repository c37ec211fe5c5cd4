//! Limits how long a request is queued, and computes when a rejected caller should retry.

use std::time::Duration;

/// The longest time that a request is queued. Callers abandon a stream after two seconds without an event, and what
/// is sent by half of that time is answered before.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The largest share of its remaining time that a request is queued.
const MAX_WAIT_SHARE: f64 = 0.5;

/// The share of a request's whole time after which a rejected caller should retry; a load spike has eased by then.
const RETRY_AFTER_SHARE: f64 = 0.25;

/// Callers wait for no longer than their remaining time divided by this, whatever retry time they are given.
pub(super) const MAX_RETRY_AFTER_DIVISOR: u32 = 3;

/// The shortest time after which a caller should retry: about the time that an engine takes for a few requests.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// What limits a request's time in the queue.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use curlewlift_core::pool::WaitLimit;
/// let wait_limit = WaitLimit {
///     objective: Duration::from_millis(1_000),
///     waited: Duration::from_millis(150),
///     remaining: Duration::from_millis(7_850),
///     first_byte: Duration::from_millis(250),
/// };
/// assert_eq!(wait_limit.send_within(), Duration::from_millis(600));
/// assert_eq!(wait_limit.retry_after(), Duration::from_secs(2));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitLimit {
    /// The latency objective: the time within which its response should begin.
    pub objective: Duration,
    /// The time since it arrived.
    pub waited: Duration,
    /// The time until its deadline.
    pub remaining: Duration,
    /// The expected time from sending it to the first byte of its response.
    pub first_byte: Duration,
}

impl WaitLimit {
    /// The time within which it must be sent for its response to begin within the objective.
    #[must_use]
    pub fn send_within(&self) -> Duration {
        self.objective.saturating_sub(self.waited + self.first_byte)
    }

    /// The time that is left of the latency objective.
    #[must_use]
    pub fn begin_within(&self) -> Duration {
        self.objective.saturating_sub(self.waited)
    }

    /// How much longer it is queued at most.
    #[must_use]
    pub fn max_wait(&self) -> Duration {
        MAX_WAIT.min(self.remaining.mul_f64(MAX_WAIT_SHARE))
    }

    /// After how long the caller should retry if it is rejected.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        let whole = self.waited + self.remaining;
        whole
            .mul_f64(RETRY_AFTER_SHARE)
            .min(self.remaining / MAX_RETRY_AFTER_DIVISOR)
            .max(MIN_RETRY_AFTER)
    }
}

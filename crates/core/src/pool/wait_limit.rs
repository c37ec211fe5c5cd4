//! How long a request is held, and when its caller is to come back.

use std::time::Duration;

/// How long a request is held at the most: callers leave a stream after two seconds without an event,
/// and what is sent by the half of them is answered before.
const HELD: Duration = Duration::from_secs(1);

/// The part of what is left of its time that a request is held at the most.
const LEFT: f64 = 0.5;

/// The part of a request's whole time after which its caller is to come back: a crowd has thinned
/// out by then.
const COME_BACK: f64 = 0.25;

/// A caller waits for no more than what is left of its time divided by this, whatever it is told.
const HEEDED: u32 = 3;

/// The time after which a caller is to come back at the earliest: some requests' time at an engine.
const SOONEST: Duration = Duration::from_millis(300);

/// What is known of a request's time.
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
    /// The time within which an answer is wanted.
    pub objective: Duration,
    /// The time since it arrived.
    pub waited: Duration,
    /// The time until its deadline.
    pub remaining: Duration,
    /// How long an answer takes to begin once it is sent.
    pub first_byte: Duration,
}

impl WaitLimit {
    /// For how much longer an answer can still begin in time.
    #[must_use]
    pub fn send_within(&self) -> Duration {
        self.objective.saturating_sub(self.waited + self.first_byte)
    }

    /// How much longer a request is held.
    #[must_use]
    pub fn max_wait(&self) -> Duration {
        HELD.min(self.remaining.mul_f64(LEFT))
    }

    /// After how long a caller that is turned away is to come back.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        let whole = self.waited + self.remaining;
        whole
            .mul_f64(COME_BACK)
            .min(self.remaining / HEEDED)
            .max(SOONEST)
    }
}

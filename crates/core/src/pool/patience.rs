//! How long a request is held, and when its caller is to come back.

use std::time::Duration;

/// The part of the time within which an answer is wanted that a request may be held unsent: less
/// than a quarter, with the way to the caller and back. Whoever is refused by then has lost
/// little, and an answer after that wait is still in time.
const HELD: f64 = 0.2;

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
/// use curlewlift_core::pool::Patience;
/// let patience = Patience {
///     objective: Duration::from_millis(1_000),
///     waited: Duration::from_millis(150),
///     left: Duration::from_millis(7_850),
/// };
/// assert_eq!(patience.unsent(), Duration::from_millis(50));
/// assert_eq!(patience.come_back(), Duration::from_secs(2));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// The time within which an answer is wanted.
    pub objective: Duration,
    /// The time since it arrived.
    pub waited: Duration,
    /// The time until its deadline.
    pub left: Duration,
}

impl Patience {
    /// How much longer a request that was sent nowhere yet is held.
    #[must_use]
    pub fn unsent(&self) -> Duration {
        let held = self.objective.mul_f64(HELD);
        self.bound(held.saturating_sub(self.waited))
    }

    /// How much longer a request is held that a server has failed: it has begun to cost something,
    /// so its wait begins anew.
    #[must_use]
    pub fn sent(&self) -> Duration {
        self.bound(self.objective.mul_f64(HELD))
    }

    /// After how long a caller that is turned away is to come back.
    #[must_use]
    pub fn come_back(&self) -> Duration {
        let whole = self.waited + self.left;
        whole
            .mul_f64(COME_BACK)
            .min(self.left / HEEDED)
            .max(SOONEST)
    }

    fn bound(&self, held: Duration) -> Duration {
        held.min(self.left.mul_f64(LEFT))
    }
}

//! Monotonic time as the state machines see it.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A moment of one process's monotonic clock, in microseconds since the process began.
///
/// Moments of two processes cannot be compared.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use curlewlift_core::clock::Instant;
/// let later = Instant::default() + Duration::from_millis(2);
/// assert_eq!(later.since(Instant::default()), Duration::from_millis(2));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(pub u64);

impl Instant {
    /// How long after `earlier` this is, zero where it is before.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, length: Duration) -> Self {
        let micros = u64::try_from(length.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    /// The moment before by `length`; no earlier than the clock's beginning.
    fn sub(self, length: Duration) -> Self {
        let micros = u64::try_from(length.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

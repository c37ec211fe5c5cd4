//! A hybrid logical clock: wall time, corrected so that an effect never comes before its cause.
//!
//! Source: Kulkarni, Demirbas et al., "Logical Physical Clocks" (2014).

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Bits of the counter within a millisecond.
const COUNTER_BITS: u32 = 16;

/// A timestamp of the hybrid clock: milliseconds since 1970, and a counter within the millisecond.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp(pub u64);

impl Stamp {
    /// The wall time, in milliseconds since 1970.
    #[must_use]
    pub const fn millis(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// The counter within the millisecond.
    #[must_use]
    pub const fn count(self) -> u64 {
        self.0 & ((1 << COUNTER_BITS) - 1)
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:03}+{}",
            self.millis() / 1_000,
            self.millis() % 1_000,
            self.count()
        )
    }
}

/// One process's hybrid clock.
///
/// # Examples
///
/// ```
/// use curlewlift_core::event::Clock;
/// let mut fast = Clock::default();
/// let mut slow = Clock::default();
/// let sent = fast.now(2_000);
/// slow.observe(sent);
/// assert!(slow.now(1_000) > sent, "an effect of a message comes after the message");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock(Stamp);

impl Clock {
    /// The next timestamp, at `wall` milliseconds since 1970; later than any before.
    pub fn now(&mut self, wall: u64) -> Stamp {
        let physical = Stamp(wall << COUNTER_BITS);
        self.0 = physical.max(Stamp(self.0.0 + 1));
        self.0
    }

    /// Advances the clock to another process's timestamp, received with a message.
    pub fn observe(&mut self, other: Stamp) {
        self.0 = self.0.max(other);
    }
}

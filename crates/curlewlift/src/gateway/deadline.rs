//! When a request must be answered.

use std::time::Duration;

use curlewlift_core::clock;
use tokio::time::Instant;

use crate::process::Clock;

/// When a request must be answered, by the clock that goes on while the host is suspended.
///
/// A timer that was set before a suspension fires late by its length; whoever sends a request therefore looks
/// at what is left once more, and not at the timer.
#[derive(Clone, Debug)]
pub(super) struct Deadline {
    clock: Clock,
    /// When the request arrived.
    pub(super) arrived: clock::Instant,
    /// How long it may take.
    within: Duration,
}

impl Deadline {
    /// That of a request that arrived at `arrived`, and may take for so long.
    pub(super) fn new(clock: Clock, arrived: clock::Instant, within: Duration) -> Self {
        Self {
            clock,
            arrived,
            within,
        }
    }

    /// The time since it arrived.
    pub(super) fn age(&self) -> Duration {
        self.clock.now().since(self.arrived)
    }

    /// For how much longer it may take.
    pub(super) fn left(&self) -> Duration {
        self.within.saturating_sub(self.age())
    }

    /// Whether it may take no longer.
    pub(super) fn is_past(&self) -> bool {
        self.left().is_zero()
    }

    /// When a timer for it fires, as far as the host is not suspended from now on.
    pub(super) fn timer(&self) -> Instant {
        Instant::now() + self.left()
    }
}

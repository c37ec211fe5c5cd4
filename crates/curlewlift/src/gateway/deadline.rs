//! The deadline of a request.

use std::time::Duration;

use curlewlift_core::clock;
use tokio::time::Instant;

use crate::process::Clock;

/// When a request arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// When its head was read.
    pub(super) at: clock::Instant,
    /// A time before its caller sent it: a host that was suspended or busy reads requests late.
    pub(super) sent_after: clock::Instant,
}

/// The deadline of a request, by a clock that keeps running while the host is suspended.
///
/// A timer that was set before a suspension fires late by the length of the suspension. Code that sends a
/// request therefore checks the remaining time again instead of relying on a timer.
#[derive(Clone, Debug)]
pub(super) struct Deadline {
    clock: Clock,
    /// When the request arrived.
    pub(super) arrived: Arrival,
    /// The time that the request may take from its arrival.
    limit: Duration,
}

impl Deadline {
    /// The deadline of a request that arrived at `arrived` and may take `limit`.
    pub(super) fn new(clock: Clock, arrived: Arrival, limit: Duration) -> Self {
        Self {
            clock,
            arrived,
            limit,
        }
    }

    /// The time since the request arrived.
    pub(super) fn elapsed(&self) -> Duration {
        self.clock.now().since(self.arrived.at)
    }

    /// The time left until the deadline; zero once it has passed.
    pub(super) fn remaining(&self) -> Duration {
        self.limit.saturating_sub(self.elapsed())
    }

    /// Whether the deadline has passed.
    pub(super) fn is_past(&self) -> bool {
        self.remaining().is_zero()
    }

    /// The instant for a timer that fires at the deadline, provided that the host is not suspended meanwhile.
    pub(super) fn timer_instant(&self) -> Instant {
        Instant::now() + self.remaining()
    }
}

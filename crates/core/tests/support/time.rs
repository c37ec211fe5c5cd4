//! Times of test clocks.

use std::time::Duration;

use curlewlift_core::clock::Instant;

/// Returns the time `count` milliseconds after the start of the clock.
pub(crate) fn ms(count: u64) -> Instant {
    Instant::default() + Duration::from_millis(count)
}

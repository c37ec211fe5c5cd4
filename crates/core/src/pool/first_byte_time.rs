//! Estimates the time to the first byte of a response.

use std::time::Duration;

use super::moving_estimate::MovingEstimate;

/// How many deviations the estimate adds to the mean; most responses have begun by then.
const ADDED_DEVIATIONS: f64 = 1.0;

/// A moving estimate of the time from sending a request to the first byte of its response.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use curlewlift_core::pool::FirstByteTime;
/// let mut first_byte = FirstByteTime::default();
/// assert_eq!(first_byte.estimate(), Duration::ZERO);
/// for _ in 0..50 {
///     first_byte.add(Duration::from_millis(80));
/// }
/// assert!(first_byte.estimate() < Duration::from_millis(90));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FirstByteTime(MovingEstimate);

impl FirstByteTime {
    /// Adds a measurement.
    pub fn add(&mut self, time: Duration) {
        self.0.add(time);
    }

    /// The time within which most responses begin; zero before the first measurement.
    #[must_use]
    pub fn estimate(&self) -> Duration {
        self.0.bound(ADDED_DEVIATIONS).unwrap_or_default()
    }
}

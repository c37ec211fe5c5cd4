//! Estimates the time to the end of a response.

use std::time::Duration;

use super::moving_estimate::MovingEstimate;

/// How many deviations the estimate adds to the mean; most responses have ended by then. With more, requests would be
/// refused that would have ended in time.
const ADDED_DEVIATIONS: f64 = 2.0;

/// A moving estimate of the time from the arrival of a request to the end of its response.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use curlewlift_core::pool::ResponseTime;
/// let mut response_time = ResponseTime::default();
/// assert_eq!(response_time.estimate(), None);
/// response_time.add(Duration::from_secs(1));
/// assert_eq!(response_time.estimate(), Some(Duration::from_secs(2)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseTime(MovingEstimate);

impl ResponseTime {
    /// Adds a measurement.
    pub fn add(&mut self, time: Duration) {
        self.0.add(time);
    }

    /// Returns the time within which most responses end; nothing before the first measurement.
    #[must_use]
    pub fn estimate(&self) -> Option<Duration> {
        self.0.bound(ADDED_DEVIATIONS)
    }
}

//! Estimates the time to the first byte of a response.

use std::time::Duration;

/// The weight of a new measurement in the mean (RFC 6298). The mean follows a change within some eight responses.
const MEAN_WEIGHT: f64 = 0.125;

/// The weight of a new measurement in the deviation (RFC 6298).
const DEVIATION_WEIGHT: f64 = 0.25;

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
pub struct FirstByteTime {
    /// The mean and the mean deviation, in seconds.
    estimate: Option<(f64, f64)>,
}

impl FirstByteTime {
    /// Adds a measurement.
    pub fn add(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.estimate = Some(match self.estimate {
            Some((mean, deviation)) => {
                let difference = time - mean;
                let deviation = deviation + (difference.abs() - deviation) * DEVIATION_WEIGHT;
                (mean + difference * MEAN_WEIGHT, deviation)
            }
            None => (time, time / 2.0),
        });
    }

    /// The time within which most responses begin; zero before the first measurement.
    #[must_use]
    pub fn estimate(&self) -> Duration {
        let estimate = self
            .estimate
            .map(|(mean, deviation)| mean + deviation * ADDED_DEVIATIONS);
        estimate.map_or(Duration::ZERO, Duration::from_secs_f64)
    }
}

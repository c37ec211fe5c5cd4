//! Measures the recent latency of a backend server.

use std::time::Duration;

/// The weight of a new measurement in the moving mean.
///
/// About eight responses make up most of the mean: an engine that becomes five times slower shows
/// within seconds, a single outlier does not.
const MEASUREMENT_WEIGHT: f64 = 0.2;

/// An exponentially weighted moving mean of a server's latency.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLatency {
    mean: Option<f64>,
}

impl ServerLatency {
    /// Adds a measurement.
    pub fn add(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.mean = Some(match self.mean {
            Some(mean) => mean + (time - mean) * MEASUREMENT_WEIGHT,
            None => time,
        });
    }

    /// The mean in seconds; `None` before the first measurement.
    #[must_use]
    pub fn mean(self) -> Option<f64> {
        self.mean
    }
}

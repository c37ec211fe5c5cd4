//! How fast a backend server has lately been.

use std::time::Duration;

/// The weight of a new measurement against what was known.
///
/// About eight answers make up most of the mean: an engine that slows five times shows within
/// seconds, one odd answer does not.
const WEIGHT: f64 = 0.2;

/// A mean that forgets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLatency {
    mean: Option<f64>,
}

impl ServerLatency {
    /// Takes in a measurement.
    pub fn add(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.mean = Some(match self.mean {
            Some(mean) => mean + (time - mean) * WEIGHT,
            None => time,
        });
    }

    /// The mean in seconds; none before the first measurement.
    #[must_use]
    pub fn mean(self) -> Option<f64> {
        self.mean
    }
}

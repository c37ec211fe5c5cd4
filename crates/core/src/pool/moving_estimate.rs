//! A moving mean and deviation of durations.

use std::time::Duration;

/// The weight of a new measurement in the mean (RFC 6298). The mean follows a change within some eight measurements.
const MEAN_WEIGHT: f64 = 0.125;

/// The weight of a new measurement in the deviation (RFC 6298).
const DEVIATION_WEIGHT: f64 = 0.25;

/// The mean and the mean deviation of durations, in seconds; none before the first measurement.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct MovingEstimate(Option<(f64, f64)>);

impl MovingEstimate {
    /// Adds a measurement.
    pub(super) fn add(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.0 = Some(match self.0 {
            Some((mean, deviation)) => {
                let difference = time - mean;
                let deviation = deviation + (difference.abs() - deviation) * DEVIATION_WEIGHT;
                (mean + difference * MEAN_WEIGHT, deviation)
            }
            None => (time, time / 2.0),
        });
    }

    /// Returns the mean plus this many deviations; nothing before the first measurement.
    pub(super) fn bound(&self, deviations: f64) -> Option<Duration> {
        let bound = self
            .0
            .map(|(mean, deviation)| mean + deviation * deviations);
        bound.map(Duration::from_secs_f64)
    }
}

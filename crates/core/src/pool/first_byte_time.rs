//! How long answers lately took to begin.

use std::time::Duration;

/// The weight of a new measurement in the mean (RFC 6298): it follows a change within some eight answers.
const MEAN: f64 = 0.125;

/// The weight of a new measurement in the deviation (RFC 6298).
const DEVIATION: f64 = 0.25;

/// How many deviations are added to the mean: most answers have begun by then.
const DEVIATIONS: f64 = 1.0;

/// The time from the sending of a request to the beginning of its answer, as it lately was.
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
    /// The mean in seconds, and how far measurements lie from it.
    known: Option<(f64, f64)>,
}

impl FirstByteTime {
    /// Takes in a measurement.
    pub fn add(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.known = Some(match self.known {
            Some((mean, deviation)) => {
                let off = time - mean;
                let deviation = deviation + (off.abs() - deviation) * DEVIATION;
                (mean + off * MEAN, deviation)
            }
            None => (time, time / 2.0),
        });
    }

    /// Within what time most answers begin; nothing before the first measurement.
    #[must_use]
    pub fn estimate(&self) -> Duration {
        let known = self
            .known
            .map(|(mean, deviation)| mean + deviation * DEVIATIONS);
        known.map_or(Duration::ZERO, Duration::from_secs_f64)
    }
}

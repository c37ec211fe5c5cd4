//! Estimates how long the responses of a customer are.

use crate::unit::Tokens;

/// The weight of a new response in the moving averages.
const SMOOTHING_FACTOR: f64 = 0.1;

/// The number of responses from which on the averages are used.
const MIN_RESPONSES: u32 = 5;

/// The expected length, as a fraction of the maximum, while there are fewer responses.
const INITIAL_FRACTION_OF_MAX: f64 = 0.5;

/// Moving averages of the length of a customer's responses and of its absolute deviation, in
/// tokens.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ResponseLength {
    mean: f64,
    deviation: f64,
    count: u32,
}

impl ResponseLength {
    /// Adds the length of a complete response to the averages.
    pub(super) fn observe(&mut self, output: Tokens) {
        let output = output.as_f64();
        let gain = if self.count < MIN_RESPONSES {
            1.0 / f64::from(self.count + 1)
        } else {
            SMOOTHING_FACTOR
        };
        self.deviation += gain * ((output - self.mean).abs() - self.deviation);
        self.mean += gain * (output - self.mean);
        self.count = self.count.saturating_add(1);
    }

    /// Estimates the length of a response of at most `max_output` tokens: the mean plus one mean
    /// deviation.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn estimate(&self, max_output: Tokens) -> Tokens {
        let estimate = if self.count < MIN_RESPONSES {
            max_output.as_f64() * INITIAL_FRACTION_OF_MAX
        } else {
            self.mean + self.deviation
        };
        Tokens(estimate.ceil() as u64).min(max_output)
    }
}

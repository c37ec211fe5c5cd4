//! How long answers are.

use crate::unit::Tokens;

/// How much one answer weighs against those before.
const GAIN: f64 = 0.1;

/// Answers after which the mean is believed.
const ENOUGH: u32 = 5;

/// The share of the most tokens that is expected before anything is known.
const FIRST_GUESS: f64 = 0.5;

/// Running mean and mean error of a customer's answers, in tokens.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ResponseLength {
    mean: f64,
    error: f64,
    count: u32,
}

impl ResponseLength {
    pub(super) fn observe(&mut self, output: Tokens) {
        let output = output.as_f64();
        let gain = if self.count < ENOUGH {
            1.0 / f64::from(self.count + 1)
        } else {
            GAIN
        };
        self.error += gain * ((output - self.mean).abs() - self.error);
        self.mean += gain * (output - self.mean);
        self.count = self.count.saturating_add(1);
    }

    /// Tokens to expect of an answer that may have `most`: the mean and one mean error.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn expect(&self, most: Tokens) -> Tokens {
        let guess = if self.count < ENOUGH {
            most.as_f64() * FIRST_GUESS
        } else {
            self.mean + self.error
        };
        Tokens(guess.ceil() as u64).min(most)
    }
}

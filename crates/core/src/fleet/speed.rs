//! Speeds, coarse enough that alike servers have the same.

/// Steps in an octave.
const STEPS_PER_OCTAVE: f64 = 4.0;

/// The least rate that is told apart.
const MIN_RATE: f64 = 0.01;

/// Rates in quarter octaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Speed {
    pub(super) prefill: i32,
    pub(super) decode: i32,
}

impl Speed {
    /// The speed of a server with these rates, in tokens a second.
    pub(super) fn new(prefill: f64, decode: f64) -> Self {
        Self {
            prefill: rate_to_step(prefill),
            decode: rate_to_step(decode),
        }
    }
}

#[allow(clippy::cast_possible_truncation)]
fn rate_to_step(rate: f64) -> i32 {
    (rate.max(MIN_RATE).log2() * STEPS_PER_OCTAVE).round() as i32
}

/// The rate in the middle of a step.
pub(super) fn step_to_rate(step: i32) -> f64 {
    (f64::from(step) / STEPS_PER_OCTAVE).exp2()
}

//! Speeds, coarse enough that alike servers have the same.

/// Steps in an octave.
const STEPS: f64 = 4.0;

/// The least rate that is told apart.
const LEAST: f64 = 0.01;

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
            prefill: step(prefill),
            decode: step(decode),
        }
    }
}

#[allow(clippy::cast_possible_truncation)]
fn step(rate: f64) -> i32 {
    (rate.max(LEAST).log2() * STEPS).round() as i32
}

/// The rate in the middle of a step.
pub(super) fn rate(step: i32) -> f64 {
    (f64::from(step) / STEPS).exp2()
}

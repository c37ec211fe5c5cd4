//! Server speeds, rounded so that similar servers share one speed.

/// Number of steps per doubling of a rate.
const STEPS_PER_OCTAVE: f64 = 4.0;

/// Lower bound of rates, in tokens per second; lower ones share its step.
const MIN_RATE: f64 = 0.01;

/// Rates on a logarithmic scale, four steps per doubling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Speed {
    pub(super) prefill: i32,
    pub(super) decode: i32,
}

impl Speed {
    /// The speed of a server with these rates, in tokens per second.
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

/// The rate at the middle of a step, in tokens per second.
pub(super) fn step_to_rate(step: i32) -> f64 {
    (f64::from(step) / STEPS_PER_OCTAVE).exp2()
}

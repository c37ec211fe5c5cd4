//! How much more than an allowance a deployment bears.

use std::time::Duration;

use crate::route::Quota;

/// The part of the tolerance that the hub gives out, evenly over time.
const GIVEN_OUT: f64 = 0.65;

/// The part that gateways hold, for the time in which the hub gives no word. What is left is for what is
/// let in at one moment and runs at a later one.
const SPARE: f64 = 0.25;

/// The part of what gateways hold that they may let in at once: a leader's end leaves them some 1 s
/// without a hub.
const AT_ONCE: f64 = 0.75;

/// How much more than an allowance may be let in, in any window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// The window's length.
    pub window: Duration,
    /// A part of what the allowance gives in a window.
    pub ratio: f64,
    /// On top of it, in the allowance's unit.
    pub slack: f64,
}

impl Tolerance {
    /// At what rate a customer's bucket fills at the hub: above its own rate, so that a part of a window's
    /// tolerance is used evenly. The bucket holds its burst, no more.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use curlewlift_core::quota::Tolerance;
    /// use curlewlift_core::route::Quota;
    /// use curlewlift_core::route::Unit;
    /// let allowance = Allowance { unit: Unit::Requests, rate: 10.0, burst: 20.0 };
    /// let tolerance = Tolerance { window: Duration::from_secs(8), ratio: 0.1, slack: 0.0 };
    /// assert!((tolerance.fill_rate(&allowance) - 10.8125).abs() < 1e-9);
    /// assert!((Tolerance::default().fill_rate(&allowance) - 10.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn fill_rate(&self, allowance: &Quota) -> f64 {
        let window = self.window.as_secs_f64();
        if window <= 0.0 {
            return allowance.rate;
        }
        allowance.rate + self.tolerated(allowance) * GIVEN_OUT / window
    }

    /// What all gateways together hold for the time in which the hub gives no word: at what rate it
    /// fills, and how much it is at the most.
    #[must_use]
    pub fn local_reserve(&self, allowance: &Quota) -> (f64, f64) {
        let window = self.window.as_secs_f64();
        if window <= 0.0 {
            return (0.0, 0.0);
        }
        let spare = self.tolerated(allowance) * SPARE;
        (spare * (1.0 - AT_ONCE) / window, spare * AT_ONCE)
    }

    /// What the allowance itself gives in a window.
    fn gives(&self, allowance: &Quota) -> f64 {
        allowance.rate * self.window.as_secs_f64() + allowance.burst
    }

    fn tolerated(&self, allowance: &Quota) -> f64 {
        self.ratio * self.gives(allowance) + self.slack
    }
}

//! How much more than an allowance a deployment bears.

use std::time::Duration;

use crate::route::Allowance;

/// The part of the tolerance that is given out; the rest is for what gateways let in before they
/// hear of each other, and for gateways and desks that begin anew.
const GIVEN_OUT: f64 = 0.8;

/// The part of the tolerance that a window may use up in all: what is let in late beyond it is
/// little by then, as the bucket's rate is low.
const WINDOW: f64 = 0.9;

/// How much more than an allowance may be let in, in any window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// The window's length.
    pub window: Duration,
    /// A part of what the allowance gives in a window.
    pub part: f64,
    /// On top of it, in the allowance's unit.
    pub slack: f64,
}

impl Tolerance {
    /// At what rate a customer's bucket fills: above its own rate, so that a window's tolerance is
    /// used evenly. The bucket holds its burst, no more: what a desk forgets is small.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use curlewlift_core::quota::Tolerance;
    /// use curlewlift_core::route::Allowance;
    /// use curlewlift_core::route::Unit;
    /// let allowance = Allowance { unit: Unit::Requests, rate: 10.0, burst: 20.0 };
    /// let tolerance = Tolerance { window: Duration::from_secs(8), part: 0.1, slack: 0.0 };
    /// assert!((tolerance.rate(&allowance) - 11.0).abs() < 1e-9);
    /// assert!((Tolerance::default().rate(&allowance) - 10.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn rate(&self, allowance: &Allowance) -> f64 {
        let window = self.window.as_secs_f64();
        if window <= 0.0 {
            return allowance.rate;
        }
        allowance.rate + self.tolerated(allowance) * GIVEN_OUT / window
    }

    /// How much a window may have in all.
    #[must_use]
    pub fn most(&self, allowance: &Allowance) -> f64 {
        self.gives(allowance) + self.tolerated(allowance) * WINDOW
    }

    /// What the allowance itself gives in a window.
    fn gives(&self, allowance: &Allowance) -> f64 {
        allowance.rate * self.window.as_secs_f64() + allowance.burst
    }

    fn tolerated(&self, allowance: &Allowance) -> f64 {
        self.part * self.gives(allowance) + self.slack
    }
}

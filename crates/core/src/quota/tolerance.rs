//! How much more than an allowance a deployment bears.

use std::time::Duration;

use crate::route::Allowance;

/// The part of the tolerance that is given out; the rest is for what entries let in before they
/// hear of each other, and for entries and desks that begin anew.
const GIVEN_OUT: f64 = 0.35;

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
    /// How much a customer may use at once.
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
    /// assert!((tolerance.depth(&allowance) - 23.5).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn depth(&self, allowance: &Allowance) -> f64 {
        let window = allowance.rate * self.window.as_secs_f64() + allowance.burst;
        allowance.burst + (self.part * window + self.slack) * GIVEN_OUT
    }
}

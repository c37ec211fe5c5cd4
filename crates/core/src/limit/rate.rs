//! How many requests a second a backend server takes.

use std::error::Error;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// A number of requests a second: finite, and not below zero.
///
/// # Examples
///
/// ```
/// use curlewlift_core::limit::Rate;
/// let rate: Rate = " 2.5 ".parse()?;
/// assert_eq!(rate.to_string(), "2.5");
/// assert!("-1".parse::<Rate>().is_err());
/// assert!("many".parse::<Rate>().is_err());
/// # Ok::<(), curlewlift_core::limit::OddRate>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate(f64);

/// A text that is no rate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidRate(pub String);

impl Rate {
    /// The number of requests a second.
    #[must_use]
    pub const fn as_f64(self) -> f64 {
        self.0
    }
}

impl FromStr for Rate {
    type Err = InvalidRate;

    fn from_str(text: &str) -> Result<Self, InvalidRate> {
        let number: Option<f64> = text.trim().parse().ok();
        let number = number.filter(|number| number.is_finite() && *number >= 0.0);
        number.map(Self).ok_or_else(|| InvalidRate(text.to_owned()))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for InvalidRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is no number of requests a second", self.0)
    }
}

impl Error for InvalidRate {}

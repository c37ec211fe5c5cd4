//! How many requests per second a backend server accepts.

use std::error::Error;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// A number of requests per second: finite and not negative.
///
/// # Examples
///
/// ```
/// use curlewlift_core::limit::Rate;
/// let rate: Rate = " 2.5 ".parse()?;
/// assert_eq!(rate.to_string(), "2.5");
/// assert!("-1".parse::<Rate>().is_err());
/// assert!("many".parse::<Rate>().is_err());
/// # Ok::<(), curlewlift_core::limit::InvalidRate>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate(f64);

/// The error for a text that is not a valid [`Rate`]; holds the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidRate(pub String);

impl Rate {
    /// Returns the number of requests per second.
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
        write!(
            f,
            "`{}` is not a valid number of requests per second",
            self.0
        )
    }
}

impl Error for InvalidRate {}

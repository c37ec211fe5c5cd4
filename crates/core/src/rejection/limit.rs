//! How many requests a server may reject.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// How many requests a second a server may reject before it fails.
///
/// # Examples
///
/// ```
/// use curlewlift_core::rejection::Limit;
/// let limit: Limit = "4".parse()?;
/// assert!(limit.allows(3));
/// assert!(!limit.allows(4));
/// // A server that may reject none gets one request at a time.
/// assert!(Limit(0).allows(0));
/// # Ok::<(), std::num::ParseIntError>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Limit(pub u32);

impl Limit {
    /// Whether a server may get another request while it could reject `exposure` others within a second.
    #[must_use]
    pub fn allows(self, exposure: u32) -> bool {
        exposure < self.0.max(1)
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Limit {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim().parse().map(Self)
    }
}

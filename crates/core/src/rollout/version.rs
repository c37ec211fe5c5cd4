//! The version of the software that a backend server runs.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// The longest name of a version, in bytes: longer ones are no names but mistakes.
const LONGEST: usize = 128;

/// The reason why a text does not name a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidVersion(String);

impl fmt::Display for InvalidVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = &self.0;
        write!(
            f,
            "`{text}` names no version: 1 to {LONGEST} bytes, without blanks and control characters"
        )
    }
}

impl std::error::Error for InvalidVersion {}

/// The version of the software that a backend server runs, as whoever started the server calls it.
///
/// Versions have no order: which one follows which is the operators' to say.
///
/// # Examples
///
/// ```
/// use curlewlift_core::rollout::Version;
/// let version: Version = "v2".parse()?;
/// assert_eq!(version.to_string(), "v2");
/// assert!("v 2".parse::<Version>().is_err());
/// # Ok::<(), curlewlift_core::rollout::InvalidVersion>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Version(Arc<str>);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Version {
    type Err = InvalidVersion;

    fn from_str(text: &str) -> Result<Self, InvalidVersion> {
        let is_clean = |c: char| !c.is_whitespace() && !c.is_control();
        if (1..=LONGEST).contains(&text.len()) && text.chars().all(is_clean) {
            Ok(Self(text.into()))
        } else {
            Err(InvalidVersion(text.chars().take(LONGEST).collect()))
        }
    }
}

impl TryFrom<String> for Version {
    type Error = InvalidVersion;

    fn try_from(text: String) -> Result<Self, InvalidVersion> {
        text.parse()
    }
}

impl From<Version> for String {
    fn from(version: Version) -> Self {
        version.0.as_ref().to_owned()
    }
}

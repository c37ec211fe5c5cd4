//! The version of the software that a backend server runs.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// The maximum length of a version name, in bytes: a longer text is taken for a mistake.
const MAX_VERSION_BYTES: usize = 128;

/// The error for a text that is not a valid version name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidVersion(String);

impl fmt::Display for InvalidVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = &self.0;
        write!(
            f,
            "`{text}` is not a valid version name: expected 1 to {MAX_VERSION_BYTES} bytes \
             without white space or control characters"
        )
    }
}

impl std::error::Error for InvalidVersion {}

/// The version of the software that a backend server runs, as named by whoever started the server.
///
/// Versions are not ordered: operators decide which one replaces which. The order of this type is
/// that of the names.
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
        if (1..=MAX_VERSION_BYTES).contains(&text.len()) && text.chars().all(is_clean) {
            Ok(Self(text.into()))
        } else {
            Err(InvalidVersion(
                text.chars().take(MAX_VERSION_BYTES).collect(),
            ))
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

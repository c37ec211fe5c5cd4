//! Identifies a part of a prompt, which requests may have in common.

use std::collections::BTreeSet;
use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use twox_hash::XxHash64;

/// How many parts of one prompt are tracked; of a longer prompt, the first ones.
pub const MAX_PARTS: usize = 256;

/// The id of a part of a prompt: a hexadecimal number, or the digest of an id that is none.
///
/// # Examples
///
/// ```
/// use curlewlift_core::quarantine::Part;
/// let part: Part = "5C1E07a2".parse().unwrap_or_else(|never| match never {});
/// assert_eq!(part.to_string(), "5c1e07a2");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Part(pub u64);

impl Part {
    /// Returns the parts of a prompt that other requests may have as well: each one once, in order, and without the
    /// last, which belongs to the request itself.
    #[must_use]
    pub fn shared(ids: &[Self]) -> Arc<[Self]> {
        let Some((_, others)) = ids.split_last() else {
            return Arc::default();
        };
        let mut seen = BTreeSet::new();
        let distinct = others.iter().filter(|part| seen.insert(**part));
        distinct.copied().take(MAX_PARTS).collect()
    }
}

impl FromStr for Part {
    type Err = Infallible;

    fn from_str(id: &str) -> Result<Self, Infallible> {
        let is_number = id.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u64::from_str_radix(id, 16).ok().filter(|_| is_number);
        Ok(Self(
            number.unwrap_or_else(|| XxHash64::oneshot(0, id.as_bytes())),
        ))
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

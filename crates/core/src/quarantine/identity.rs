//! Identifies a request by its content, the same for all retries of its caller.

use std::fmt;
use std::hash::Hasher;

use serde::Deserialize;
use serde::Serialize;
use twox_hash::XxHash64;

use crate::id;

/// A request's customer and a digest of its destination and body.
///
/// The customer is not part of the digest, so that nobody can send a request that counts as another customer's.
///
/// # Examples
///
/// ```
/// use curlewlift_core::quarantine::Identity;
/// let ann = Some("ann".parse()?);
/// let first = Identity::new(ann.clone(), "shop.example", "/chat/1", b"hello");
/// assert_eq!(first, Identity::new(ann.clone(), "shop.example", "/chat/1", b"hello"));
/// assert_ne!(first, Identity::new(ann, "shop.example", "/chat/1", b"hello!"));
/// # Ok::<(), curlewlift_core::id::InvalidName>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The customer; `None` on a rule that is open to all.
    pub customer: Option<id::Customer>,
    /// The digest of the HTTP host, the path and the body; the same on every host.
    pub digest: u64,
}

impl Identity {
    /// Creates the identity of a request for `path` (including the query) at `host`.
    #[must_use]
    pub fn new(customer: Option<id::Customer>, host: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = XxHash64::default();
        for part in [host.as_bytes(), path.as_bytes(), body] {
            // The length separates the parts: `ab` and `c` must not give the same digest as `a` and `bc`.
            hasher.write_u64(part.len() as u64);
            hasher.write(part);
        }
        Self {
            customer,
            digest: hasher.finish(),
        }
    }
}

impl fmt::Display for Identity {
    /// Writes only the digest; logs contain the customer separately.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.digest)
    }
}

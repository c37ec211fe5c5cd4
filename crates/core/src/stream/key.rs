//! Identifies a stream over all requests of its caller.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::quarantine::Identity;

/// The number of bytes of a key.
const KEY_BYTES: usize = 16;

/// A digest of a request's identity and the id of the request that brought the stream's first event.
///
/// The customer is a part of it, so that nobody can name another customer's stream, or find out whether there is one.
///
/// # Examples
///
/// ```
/// use curlewlift_core::quarantine::Identity;
/// use curlewlift_core::stream::Key;
/// let ann = Identity::new(Some("ann".parse()?), "shop.example", "/chat/1", b"hello");
/// let ben = Identity::new(Some("ben".parse()?), "shop.example", "/chat/1", b"hello");
/// assert_eq!(Key::new(&ann, b"r-1"), Key::new(&ann, b"r-1"));
/// assert_ne!(Key::new(&ann, b"r-1"), Key::new(&ann, b"r-2"));
/// assert_ne!(Key::new(&ann, b"r-1"), Key::new(&ben, b"r-1"));
/// # Ok::<(), curlewlift_core::id::InvalidName>(())
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key([u8; KEY_BYTES]);

impl Key {
    /// Creates the key of the stream whose first event was brought by the request `first_request`.
    #[must_use]
    pub fn new(identity: &Identity, first_request: &[u8]) -> Self {
        let customer = identity.customer.as_ref();
        let customer = customer.map_or("", |customer| customer.as_str());
        let mut hash = Sha256::new();
        // Neither a customer's name nor a digest contains what would make two inputs alike.
        hash.update((customer.len() as u64).to_le_bytes());
        hash.update(customer);
        hash.update(identity.digest.to_le_bytes());
        hash.update(first_request);
        let mut key = [0; KEY_BYTES];
        key.copy_from_slice(&hash.finalize()[..KEY_BYTES]);
        Self(key)
    }

    /// A number that is spread evenly over keys.
    pub(crate) fn as_u64(self) -> u64 {
        let (first, _) = self.0.split_at(size_of::<u64>());
        first
            .iter()
            .fold(0, |number, byte| number << 8 | u64::from(*byte))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.as_u64())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

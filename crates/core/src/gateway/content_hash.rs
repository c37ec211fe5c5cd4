//! Hashes that serve as versions of content.

use std::hash::Hash;
use std::hash::Hasher;

use twox_hash::XxHash64;

/// Hashes `content` to a number that is the same on every host.
pub(crate) fn content_hash(content: &impl Hash) -> u64 {
    let mut hasher = XxHash64::default();
    content.hash(&mut hasher);
    hasher.finish()
}

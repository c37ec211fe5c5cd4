//! Versions that tell one content from another.

use std::hash::Hash;
use std::hash::Hasher;

use twox_hash::XxHash64;

/// The same number for the same content, on every host.
pub(crate) fn version(content: &impl Hash) -> u64 {
    let mut hasher = XxHash64::default();
    content.hash(&mut hasher);
    hasher.finish()
}

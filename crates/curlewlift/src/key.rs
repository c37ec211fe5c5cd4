//! Keys of customers and operators; only their hashes are stored.

use std::fmt::Write;

use sha2::Digest;
use sha2::Sha256;

/// The SHA-256 of `key` in hexadecimal, as the configuration stores it.
///
/// # Examples
///
/// ```
/// assert!(curlewlift::digest("secret").starts_with("2bb80d537b1d"));
/// ```
#[must_use]
pub fn digest(key: &str) -> String {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(key) {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

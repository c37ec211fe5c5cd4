//! Serializes byte strings that are usually UTF-8 text: JSON gets a string instead of a list of
//! numbers.
//!
//! As a list of numbers, a routing table of a few hundred rules would take four times its size on
//! disk. Such lists, which earlier versions wrote, are still read.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// The two forms that JSON may have.
#[derive(Deserialize)]
#[serde(untagged)]
enum JsonForm {
    Text(String),
    Numbers(Vec<u8>),
}

pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    match std::str::from_utf8(bytes) {
        Ok(text) if serializer.is_human_readable() => text.serialize(serializer),
        _ => bytes.serialize(serializer),
    }
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    if !deserializer.is_human_readable() {
        return Vec::deserialize(deserializer);
    }
    Ok(match JsonForm::deserialize(deserializer)? {
        JsonForm::Text(text) => text.into_bytes(),
        JsonForm::Numbers(bytes) => bytes,
    })
}

//! Bytes that are text nearly always: in JSON as text, not as a list of numbers.
//!
//! A routing table of a few hundred rules would take four times its size on the disk otherwise.
//! Lists of numbers, which earlier versions wrote, are still read.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// Both forms.
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

//! A part of a payload, as it is sent in one message.

use serde::Deserialize;
use serde::Serialize;

use super::Payload;
use super::PayloadId;

/// Size of a chunk: 13 ms of a link of 10 Mbit/s.
pub const CHUNK_BYTES: usize = 16 << 10;

/// A chunk of a payload.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The payload.
    pub payload: PayloadId,
    /// The offset of the chunk in bytes.
    pub offset: usize,
    /// The bytes of the chunk.
    pub bytes: Vec<u8>,
}

impl Chunk {
    /// Returns the chunk of `payload` at `offset`.
    #[must_use]
    pub fn cut(payload: &Payload, offset: usize) -> Self {
        let bytes = payload.as_bytes();
        let start = offset.min(bytes.len());
        let end = (start + CHUNK_BYTES).min(bytes.len());
        Self {
            payload: payload.get_id(),
            offset: start,
            bytes: bytes[start..end].to_vec(),
        }
    }

    /// Returns whether it is the last chunk of its payload.
    #[must_use]
    pub fn is_last(&self) -> bool {
        self.offset + self.bytes.len() == self.payload.len
    }
}

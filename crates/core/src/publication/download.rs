//! A table that is being received.

use crate::code::Refusal;

use super::Chunk;
use super::Payload;
use super::PayloadId;

/// The received part of a payload. It is kept while whoever sends it changes.
///
/// # Examples
///
/// ```
/// use curlewlift_core::publication::Chunk;
/// use curlewlift_core::publication::Download;
/// use curlewlift_core::publication::Payload;
/// use curlewlift_core::state::Document;
/// use curlewlift_core::state::Publication;
/// let document = Document::pack(&"rule;".repeat(10));
/// let payload = Payload::whole(&Publication { version: 7, document });
/// let mut download = Download::default();
/// let received = loop {
///     let chunk = Chunk::cut(&payload, download.len());
///     if let Some(received) = download.receive(&chunk) {
///         break received?;
///     }
/// };
/// assert_eq!(received, payload);
/// # Ok::<(), curlewlift_core::code::Refusal>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Download {
    payload: Option<PayloadId>,
    bytes: Vec<u8>,
    restarts: u64,
}

impl Download {
    /// The payload that has been received in part.
    #[must_use]
    pub fn get_payload(&self) -> Option<PayloadId> {
        self.payload
    }

    /// The number of bytes that have been received.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether nothing has been received.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// How often received bytes were of no use.
    #[must_use]
    pub fn get_restarts(&self) -> u64 {
        self.restarts
    }

    /// Drops what has been received.
    fn clear(&mut self) {
        self.restarts += u64::from(!self.bytes.is_empty());
        self.payload = None;
        self.bytes.clear();
    }

    /// Adds a chunk; returns the payload once it is complete, or an error if its bytes are damaged. A chunk that does not
    /// follow the bytes received is ignored; one of another payload begins the download anew if it is the first one.
    pub fn receive(&mut self, chunk: &Chunk) -> Option<Result<Payload, Refusal>> {
        if self.payload != Some(chunk.payload) {
            if chunk.offset != 0 {
                return None;
            }
            self.clear();
            self.payload = Some(chunk.payload);
        }
        if chunk.offset != self.bytes.len() {
            return None;
        }
        self.bytes.extend_from_slice(&chunk.bytes);
        if self.bytes.len() < chunk.payload.len {
            return None;
        }
        let bytes = std::mem::take(&mut self.bytes);
        self.payload = None;
        Some(Payload::received(chunk.payload, bytes))
    }
}

//! The bytes in which a table is transferred.

use serde::Deserialize;
use serde::Serialize;
use twox_hash::XxHash3_64;

use crate::code::Code;
use crate::code::Refusal;
use crate::state::Document;
use crate::state::Publication;

use super::Patch;

/// Identifies a payload. Chunks of the same payload from different hosts can be put together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PayloadId {
    /// The version of the table.
    pub version: u64,
    /// The version of the table that it is a patch against, or 0 if it is the whole table.
    pub base: u64,
    /// The number of bytes.
    pub len: usize,
    /// A hash of the bytes.
    pub hash: u64,
}

/// A table as it is transferred: whole, or as a patch against an older table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Payload {
    id: PayloadId,
    bytes: Vec<u8>,
}

impl Payload {
    /// Returns the payload with the whole of a table.
    #[must_use]
    pub fn whole(publication: &Publication) -> Self {
        let bytes = publication.document.as_packed().as_bytes().to_vec();
        Self::new(publication.version, 0, bytes)
    }

    /// Returns a table as a patch against `base`, or whole if that is not larger.
    ///
    /// # Errors
    ///
    /// If one of the documents is damaged.
    pub fn patch(base: &Publication, publication: &Publication) -> Result<Self, Refusal> {
        let patch = Patch::between(&base.document.unpack()?, &publication.document.unpack()?)?;
        if patch.as_bytes().len() >= publication.document.as_packed().len() {
            return Ok(Self::whole(publication));
        }
        Ok(Self::new(
            publication.version,
            base.version,
            patch.into_bytes(),
        ))
    }

    fn new(version: u64, base: u64, bytes: Vec<u8>) -> Self {
        let id = PayloadId {
            version,
            base,
            len: bytes.len(),
            hash: XxHash3_64::oneshot(&bytes),
        };
        Self { id, bytes }
    }

    /// Returns the payload `id` that was received as `bytes`.
    ///
    /// # Errors
    ///
    /// [`Code::Damaged`] if these are not its bytes.
    pub fn received(id: PayloadId, bytes: Vec<u8>) -> Result<Self, Refusal> {
        let received = Self::new(id.version, id.base, bytes);
        if received.id != id {
            let why = format!("the received bytes are not those of table {}", id.version);
            return Err(Refusal::new(Code::Damaged, why));
        }
        Ok(received)
    }

    /// Its identity.
    #[must_use]
    pub fn get_id(&self) -> PayloadId {
        self.id
    }

    /// Its bytes.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the table, given the one that is in effect.
    ///
    /// # Errors
    ///
    /// [`Code::Damaged`] if it is a patch against another table, or is damaged.
    pub fn unpack(&self, in_effect: &Publication) -> Result<Publication, Refusal> {
        let document = if self.id.base == 0 {
            let packed = std::str::from_utf8(&self.bytes);
            let packed = packed.map_err(|why| Refusal::new(Code::Damaged, why.to_string()))?;
            Document::from_packed(packed)
        } else if self.id.base == in_effect.version {
            let patch = Patch::from_bytes(self.bytes.clone());
            Document::pack(&patch.apply(&in_effect.document.unpack()?)?)
        } else {
            let why = format!("a patch against table {} is of no use", self.id.base);
            return Err(Refusal::new(Code::Damaged, why));
        };
        Ok(Publication {
            version: self.id.version,
            document,
        })
    }
}

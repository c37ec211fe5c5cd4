//! Documents, compressed for storage and distribution.

use std::io::Read;
use std::io::Write;
use std::sync::Arc;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use flate2::Compression;
use flate2::Crc;
use flate2::read::DeflateDecoder;
use flate2::read::GzDecoder;
use flate2::write::DeflateEncoder;
use serde::Deserialize;
use serde::Serialize;

use crate::code::Code;
use crate::code::Refusal;

/// Prefix of a compressed document.
const PACKED_PREFIX: &str = "deflate,base64:";

/// The head of a gzip file of deflated data, without a name and a time, from an unknown system.
const GZIP_HEADER: [u8; 10] = [0x1f, 0x8b, 8, 0, 0, 0, 0, 0, 0, 255];

/// Maximum size of a document: enough for about 30,000 routes.
pub const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// A document whose text is preserved byte for byte, stored compressed if that is shorter.
///
/// The log, the disks and the network use this form: a routing table of 1,400 rules (282,928 bytes)
/// takes about 15 KB.
///
/// # Examples
///
/// ```
/// use curlewlift_core::state::Document;
/// let text = r#"{"rules":[]}"#.repeat(1_000);
/// let document = Document::pack(&text);
/// assert!(document.as_packed().len() < 200);
/// assert_eq!(document.unpack().as_deref(), Ok(&*text));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Document(Arc<str>);

impl Document {
    /// Creates a document from `text`, compressed if that is shorter.
    #[must_use]
    pub fn pack(text: &str) -> Self {
        match deflate(text) {
            Ok(packed) if packed.len() < text.len() || text.starts_with(PACKED_PREFIX) => {
                Self(packed.into())
            }
            _ => Self(text.into()),
        }
    }

    /// Creates a document from the stored form that [`Document::as_packed`] returned.
    #[must_use]
    pub fn from_packed(packed: &str) -> Self {
        Self(packed.into())
    }

    /// The stored form.
    #[must_use]
    pub fn as_packed(&self) -> &str {
        &self.0
    }

    /// The document's text.
    ///
    /// # Errors
    ///
    /// [`Code::Damaged`] if the stored form is invalid, or the text is larger than
    /// [`MAX_DOCUMENT_BYTES`].
    pub fn unpack(&self) -> Result<String, Refusal> {
        let Some(bytes) = self.deflated()? else {
            return Ok(self.0.to_string());
        };
        read_text(DeflateDecoder::new(&*bytes))
    }

    /// The document's `text` as a gzip file, without compressing it again; none if it is stored uncompressed.
    ///
    /// # Errors
    ///
    /// [`Code::Damaged`] if the stored form is invalid.
    pub fn to_gzip(&self, text: &str) -> Result<Option<Vec<u8>>, Refusal> {
        let Some(deflated) = self.deflated()? else {
            return Ok(None);
        };
        let mut checksum = Crc::new();
        checksum.update(text.as_bytes());
        let mut file = GZIP_HEADER.to_vec();
        file.extend_from_slice(&deflated);
        file.extend_from_slice(&checksum.sum().to_le_bytes());
        file.extend_from_slice(&checksum.amount().to_le_bytes());
        Ok(Some(file))
    }

    /// The text in a gzip file, as [`Document::to_gzip`] returns it.
    ///
    /// # Errors
    ///
    /// [`Code::Damaged`] if the file is invalid or incomplete, or the text is larger than
    /// [`MAX_DOCUMENT_BYTES`].
    pub fn text_from_gzip(file: &[u8]) -> Result<String, Refusal> {
        read_text(GzDecoder::new(file))
    }

    /// The compressed text; none if it is stored uncompressed.
    fn deflated(&self) -> Result<Option<Vec<u8>>, Refusal> {
        let packed = self.0.strip_prefix(PACKED_PREFIX);
        let bytes = packed.map(|packed| BASE64_STANDARD.decode(packed));
        bytes.transpose().map_err(|error| damaged(&error))
    }
}

/// Reads the whole text of a decoder, up to the maximum size of a document.
fn read_text(decoder: impl Read) -> Result<String, Refusal> {
    let mut text = String::new();
    decoder
        .take(MAX_DOCUMENT_BYTES as u64 + 1)
        .read_to_string(&mut text)
        .map_err(|error| damaged(&error))?;
    if text.len() > MAX_DOCUMENT_BYTES {
        let why = format!("it has more than {MAX_DOCUMENT_BYTES} bytes");
        return Err(damaged(&why));
    }
    Ok(text)
}

fn damaged(error: &dyn std::fmt::Display) -> Refusal {
    Refusal::new(
        Code::Damaged,
        format!("cannot decompress a document: {error}"),
    )
}

fn deflate(text: &str) -> std::io::Result<String> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(text.as_bytes())?;
    Ok(PACKED_PREFIX.to_owned() + &BASE64_STANDARD.encode(encoder.finish()?))
}

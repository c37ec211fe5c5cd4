//! A document as it is kept and handed out.

use std::io::Read;
use std::io::Write;
use std::sync::Arc;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Deserialize;
use serde::Serialize;

use crate::code::Code;
use crate::code::Refusal;

/// What the packed form begins with.
const PACKED_PREFIX: &str = "deflate,base64:";

/// The largest document, in bytes: some thirty thousand routes.
pub const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// A document that is kept to the byte: as it is, or packed where that is shorter.
///
/// The log, the disks and the links carry it as it is here; a table of 1,400 rules (282,928 bytes) takes
/// some 15 KB.
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
    /// Packs `text`.
    #[must_use]
    pub fn pack(text: &str) -> Self {
        match deflate(text) {
            Ok(packed) if packed.len() < text.len() || text.starts_with(PACKED_PREFIX) => {
                Self(packed.into())
            }
            _ => Self(text.into()),
        }
    }

    /// What [`Document::as_packed`] gave.
    #[must_use]
    pub fn from_packed(packed: &str) -> Self {
        Self(packed.into())
    }

    /// The packed form.
    #[must_use]
    pub fn as_packed(&self) -> &str {
        &self.0
    }

    /// The document's text.
    ///
    /// # Errors
    ///
    /// [`Code::Damaged`] where it was not packed by [`Document::pack`], or is larger than [`MAX_DOCUMENT_BYTES`].
    pub fn unpack(&self) -> Result<String, Refusal> {
        let Some(packed) = self.0.strip_prefix(PACKED_PREFIX) else {
            return Ok(self.0.to_string());
        };
        let damaged = |why: String| Refusal::new(Code::Damaged, format!("a document: {why}"));
        let bytes = BASE64_STANDARD.decode(packed);
        let bytes = bytes.map_err(|why| damaged(why.to_string()))?;
        let mut text = String::new();
        DeflateDecoder::new(&*bytes)
            .take(MAX_DOCUMENT_BYTES as u64 + 1)
            .read_to_string(&mut text)
            .map_err(|why| damaged(why.to_string()))?;
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(damaged(format!("it has over {MAX_DOCUMENT_BYTES} bytes")));
        }
        Ok(text)
    }
}

fn deflate(text: &str) -> std::io::Result<String> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(text.as_bytes())?;
    Ok(PACKED_PREFIX.to_owned() + &BASE64_STANDARD.encode(encoder.finish()?))
}

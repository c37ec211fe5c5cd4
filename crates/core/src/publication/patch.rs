//! The difference between two documents.

use zstd::zstd_safe::CCtx;
use zstd::zstd_safe::CParameter;
use zstd::zstd_safe::DCtx;
use zstd::zstd_safe::compress_bound;
use zstd::zstd_safe::get_error_name;
use zstd::zstd_safe::get_frame_content_size;

use crate::code::Code;
use crate::code::Refusal;
use crate::state::MAX_DOCUMENT_BYTES;

/// Compression level: a change of a few lines is found at any level.
const LEVEL: i32 = 3;

/// The smallest window as a power of two.
const MIN_WINDOW_LOG: u32 = 10;

/// The largest window as a power of two: two documents of the maximum size.
const MAX_WINDOW_LOG: u32 = 25;

/// A document as its difference to another one: compressed with the other one as dictionary.
///
/// # Examples
///
/// ```
/// use curlewlift_core::publication::Patch;
/// let base = (0..1_000).map(|number| format!("rule {number};")).collect::<String>();
/// let text = base.replace("rule 500;", "rule 500b;");
/// let patch = Patch::between(&base, &text)?;
/// assert!(patch.as_bytes().len() < 100);
/// assert_eq!(patch.apply(&base)?, text);
/// assert!(patch.apply(&text).is_err(), "another document");
/// # Ok::<(), curlewlift_core::code::Refusal>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Patch(Vec<u8>);

impl Patch {
    /// Returns the patch that turns `base` into `text`.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] if the compressor fails.
    pub fn between(base: &str, text: &str) -> Result<Self, Refusal> {
        let patch = compress(base.as_bytes(), text.as_bytes());
        let patch = patch.map_err(|error| Refusal::new(Code::Internal, get_error_name(error)));
        patch.map(Self)
    }

    /// Returns the patch with these bytes.
    #[must_use]
    pub fn from_bytes(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }

    /// The bytes of the patch.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the bytes of the patch.
    #[must_use]
    pub fn into_bytes(self) -> Vec<u8> {
        self.0
    }

    /// Returns the document that the patch turns `base` into.
    ///
    /// # Errors
    ///
    /// [`Code::Damaged`] if the patch is damaged or was made for another document, or if the result is larger than
    /// [`MAX_DOCUMENT_BYTES`].
    pub fn apply(&self, base: &str) -> Result<String, Refusal> {
        let damaged =
            |why: &str| Refusal::new(Code::Damaged, format!("cannot apply a patch: {why}"));
        let len = get_frame_content_size(&self.0);
        let len = len.map_err(|_| damaged("it is no compressed frame"))?;
        let len = len.and_then(|len| usize::try_from(len).ok());
        let len = len.filter(|len| *len <= MAX_DOCUMENT_BYTES);
        let len =
            len.ok_or_else(|| damaged("the length of the result is not stated, or too large"))?;
        let text = decompress(base.as_bytes(), &self.0, len);
        let text = text.map_err(|error| damaged(get_error_name(error)))?;
        String::from_utf8(text).map_err(|why| damaged(&why.to_string()))
    }
}

/// Compresses `text` in one step, which needs no buffer for a window.
fn compress(base: &[u8], text: &[u8]) -> Result<Vec<u8>, usize> {
    let mut context = CCtx::create();
    // The whole of both documents must lie within the window for each part of `base` to be found.
    let window = (base.len() + text.len()).next_power_of_two().ilog2();
    let parameters = [
        CParameter::CompressionLevel(LEVEL),
        CParameter::WindowLog(window.clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG)),
        CParameter::EnableLongDistanceMatching(true),
        CParameter::ChecksumFlag(true),
    ];
    for parameter in parameters {
        context.set_parameter(parameter)?;
    }
    context.ref_prefix(base)?;
    let mut patch = Vec::with_capacity(compress_bound(text.len()));
    context.compress2(&mut patch, text)?;
    patch.shrink_to_fit();
    Ok(patch)
}

fn decompress(base: &[u8], patch: &[u8], len: usize) -> Result<Vec<u8>, usize> {
    let mut context = DCtx::create();
    context.ref_prefix(base)?;
    let mut text = Vec::with_capacity(len);
    context.decompress(&mut text, patch)?;
    Ok(text)
}

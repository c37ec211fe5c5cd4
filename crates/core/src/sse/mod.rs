//! Server-sent events, in the format of the `text/event-stream` media type (WHATWG HTML, section 9.2).
//!
//! [`Decoder`] finds where events end in a stream of bytes, and [`Progress`] remembers the last one, so that a stream
//! which broke off can be resumed.

mod decoder;
mod progress;

pub use decoder::Decoder;
pub use progress::Progress;
pub use progress::ResumePoint;

/// The media type of a stream of events.
pub const MEDIA_TYPE: &str = "text/event-stream";

/// Maximum length of an event, in bytes: one that never ends must not exhaust the memory.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// The byte order mark, which may stand at the beginning of a stream.
const BYTE_ORDER_MARK: &[u8] = b"\xEF\xBB\xBF";

/// The lines of an event.
fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    event.split(|byte| matches!(byte, b'\r' | b'\n'))
}

/// The value of a line's field `name`; none if the line has another field.
fn field<'a>(line: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let rest = line.strip_prefix(name.as_bytes())?;
    if rest.is_empty() {
        return Some(rest);
    }
    let value = rest.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// Returns the data of the first `data` field of an event; none if it has no such field.
///
/// ```
/// use curlewlift_core::sse;
///
/// assert_eq!(sse::data(b"id: 7\ndata: done\n\n"), Some(&b"done"[..]));
/// assert_eq!(sse::data(b": comment\n"), None);
/// ```
#[must_use]
pub fn data(event: &[u8]) -> Option<&[u8]> {
    lines(event).find_map(|line| field(line, "data"))
}

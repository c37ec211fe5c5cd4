//! Finds where events end.

use bytes::Bytes;
use bytes::BytesMut;

use crate::response::DataEnd;

use super::BYTE_ORDER_MARK;

/// What has been read of the present line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    /// Nothing.
    #[default]
    Empty,
    /// The beginning of a comment.
    Comment,
    /// The beginning of a field.
    Field,
}

/// Cuts a stream of bytes into complete events.
///
/// Comments and blank lines between events are complete at the end of their line. No byte is changed: what is returned,
/// followed by what is incomplete, is the stream.
///
/// ```
/// use curlewlift_core::sse::Decoder;
///
/// let mut decoder = Decoder::default();
/// decoder.push(b"data: 1\n\ndata: 2\n");
/// assert_eq!(decoder.next_event().as_deref(), Some(&b"data: 1\n\n"[..]));
/// assert_eq!(decoder.next_event(), None);
/// // The second event has no blank line yet: a stream that ends here has broken off.
/// assert!(!decoder.is_at_boundary());
/// decoder.push(b"\n");
/// assert_eq!(decoder.next_event().as_deref(), Some(&b"data: 2\n\n"[..]));
/// assert!(decoder.is_at_boundary());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Decoder {
    /// The bytes after the last complete event.
    incomplete: BytesMut,
    /// How many of them have been read.
    scanned: usize,
    line: Line,
    /// Whether the present event has a complete field.
    has_field: bool,
    /// Whether the last byte was a carriage return: a line feed that follows belongs to the same line end.
    after_return: bool,
    /// How many bytes of the byte order mark have been read; all, after the beginning of the stream.
    mark_bytes: usize,
    /// Whether an event ended in the bytes that were appended last.
    has_ended: bool,
}

impl Decoder {
    /// Appends bytes that have arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.incomplete.extend_from_slice(bytes);
        self.has_ended = false;
    }

    /// Returns the next complete event, comment or blank line; none if more bytes are needed.
    pub fn next_event(&mut self) -> Option<Bytes> {
        while let Some(&byte) = self.incomplete.get(self.scanned) {
            self.scanned += 1;
            if self.read(byte) {
                let line_feed = byte == b'\r' && self.incomplete.get(self.scanned) == Some(&b'\n');
                if line_feed {
                    self.scanned += 1;
                    self.after_return = false;
                }
                let event = self.incomplete.split_to(self.scanned);
                self.scanned = 0;
                self.has_ended = true;
                return Some(event.freeze());
            }
        }
        None
    }

    /// Whether the stream may end after the bytes so far: no event or line is incomplete.
    #[must_use]
    pub fn is_at_boundary(&self) -> bool {
        self.scanned == self.incomplete.len()
            && self.line == Line::Empty
            && !self.has_field
            && [0, BYTE_ORDER_MARK.len()].contains(&self.mark_bytes)
    }

    /// Returns where the bytes that were appended last end, once their events have been read.
    #[must_use]
    pub fn data_end(&self) -> DataEnd {
        match self.has_ended {
            _ if self.is_at_boundary() => DataEnd::Boundary,
            true => DataEnd::NextEvent,
            false => DataEnd::Event,
        }
    }

    /// Returns how many bytes have arrived since the last complete event.
    #[must_use]
    pub fn incomplete_bytes(&self) -> usize {
        self.incomplete.len()
    }

    /// Reads a byte; whether an event, comment or blank line ends with it.
    fn read(&mut self, byte: u8) -> bool {
        if let Some(is_complete) = self.read_byte_order_mark(byte) {
            return is_complete;
        }
        let follows_return = std::mem::take(&mut self.after_return);
        match byte {
            // The line has ended before; between events, this byte is passed on by itself.
            b'\n' if follows_return => !self.has_field,
            b'\r' | b'\n' => {
                self.after_return = byte == b'\r';
                self.end_line()
            }
            b':' if self.line == Line::Empty => {
                self.line = Line::Comment;
                false
            }
            _ => {
                if self.line == Line::Empty {
                    self.line = Line::Field;
                }
                false
            }
        }
    }

    /// Reads a byte of the byte order mark; whether the mark is complete, or none if `byte` isn't a part of it.
    fn read_byte_order_mark(&mut self, byte: u8) -> Option<bool> {
        let rest = &BYTE_ORDER_MARK[self.mark_bytes..];
        if rest.first() == Some(&byte) {
            self.mark_bytes += 1;
            return Some(rest.len() == 1);
        }
        if (1..BYTE_ORDER_MARK.len()).contains(&self.mark_bytes) {
            // The first line begins like the mark.
            self.line = Line::Field;
        }
        self.mark_bytes = BYTE_ORDER_MARK.len();
        None
    }

    /// Ends the present line; whether an event, comment or blank line ends with it.
    fn end_line(&mut self) -> bool {
        match std::mem::take(&mut self.line) {
            Line::Empty => {
                self.has_field = false;
                true
            }
            Line::Comment => !self.has_field,
            Line::Field => {
                self.has_field = true;
                false
            }
        }
    }
}

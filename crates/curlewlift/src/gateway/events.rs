//! Splits a streamed response into server-sent events.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

/// Maximum length of an event, in bytes: an event that never ends must not exhaust the memory.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a stream into events, and remembers the last one that was forwarded.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    /// The bytes of an event that is not complete yet.
    partial: BytesMut,
    /// Index in `partial` at which the search for the end of an event continues.
    scanned: usize,
    /// The id of the last event that was forwarded.
    last_id: Option<String>,
    /// The highest id that was forwarded, if the ids are numbers.
    highest_id: Option<u64>,
}

impl EventSplitter {
    /// Appends received bytes, and returns the complete events that the caller does not have yet.
    pub(super) fn push(&mut self, data: &[u8]) -> Bytes {
        self.partial.extend_from_slice(data);
        let mut complete = BytesMut::new();
        while let Some(end) = self.first_event_end() {
            let event = self.partial.split_to(end).freeze();
            self.scanned = 0;
            if self.is_new(&event) {
                complete.extend_from_slice(&event);
            }
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            complete.extend_from_slice(&self.partial.split());
            self.scanned = 0;
        }
        complete.freeze()
    }

    /// The index after the first complete event, if there is one.
    fn first_event_end(&mut self) -> Option<usize> {
        let bytes = &self.partial[..];
        let start = self.scanned;
        for index in start..bytes.len() {
            if bytes[index] != b'\n' {
                continue;
            }
            let rest = &bytes[index + 1..];
            if rest.first() == Some(&b'\n') {
                return Some(index + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(index + 3);
            }
        }
        self.scanned = bytes.len().saturating_sub(2);
        None
    }

    /// Whether the event has not been forwarded before; if so, records it as the last one.
    fn is_new(&mut self, event: &Bytes) -> bool {
        let Some(id) = event_id(event) else {
            return true;
        };
        let number: Option<u64> = id.parse().ok();
        if let (Some(number), Some(highest_id)) = (number, self.highest_id)
            && number <= highest_id
        {
            return false;
        }
        self.highest_id = number.or(self.highest_id);
        self.last_id = Some(id);
        true
    }

    /// Drops the incomplete event after the stream broke off, and returns the id of the last event.
    pub(super) fn reset(&mut self) -> Option<String> {
        self.partial.clear();
        self.scanned = 0;
        self.last_id.clone()
    }

    /// The bytes after the last complete event, at the end of the stream.
    pub(super) fn remainder(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

/// The id of an event.
fn event_id(event: &Bytes) -> Option<String> {
    let mut lines = event.chunk().split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    Some(text.trim().to_owned())
}

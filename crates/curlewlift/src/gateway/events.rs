//! The events of a stream.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

/// The longest event, in bytes: one that never ends must not fill the memory.
const LONGEST: usize = 1 << 20;

/// Splits a stream into events, and remembers the last one that was passed on.
#[derive(Debug, Default)]
pub(super) struct Events {
    partial: BytesMut,
    /// Where to look on for the end of an event.
    looked: usize,
    last: Option<String>,
    /// The highest number that was passed on, where events are numbered.
    highest: Option<u64>,
}

impl Events {
    /// Takes in bytes; gives the whole events among them that the caller does not have yet.
    pub(super) fn take(&mut self, data: &[u8]) -> Bytes {
        self.partial.extend_from_slice(data);
        let mut whole = BytesMut::new();
        while let Some(end) = self.end() {
            let event = self.partial.split_to(end).freeze();
            self.looked = 0;
            if self.is_new(&event) {
                whole.extend_from_slice(&event);
            }
        }
        if self.partial.len() > LONGEST {
            whole.extend_from_slice(&self.partial.split());
            self.looked = 0;
        }
        whole.freeze()
    }

    /// The end of the first event that is there whole.
    fn end(&mut self) -> Option<usize> {
        let bytes = &self.partial[..];
        let from = self.looked;
        for slot in from..bytes.len() {
            if bytes[slot] != b'\n' {
                continue;
            }
            let rest = &bytes[slot + 1..];
            if rest.first() == Some(&b'\n') {
                return Some(slot + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(slot + 3);
            }
        }
        self.looked = bytes.len().saturating_sub(2);
        None
    }

    /// Whether the event comes after those that were passed on; if so it is the last one now.
    fn is_new(&mut self, event: &Bytes) -> bool {
        let Some(id) = id(event) else {
            return true;
        };
        let number: Option<u64> = id.parse().ok();
        if let (Some(number), Some(highest)) = (number, self.highest)
            && number <= highest
        {
            return false;
        }
        self.highest = number.or(self.highest);
        self.last = Some(id);
        true
    }

    /// The stream broke: what is there of an event is dropped; gives the last event's name.
    pub(super) fn broke(&mut self) -> Option<String> {
        self.partial.clear();
        self.looked = 0;
        self.last.clone()
    }

    /// What is there at the stream's own end.
    pub(super) fn rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

/// The name of an event.
fn id(event: &Bytes) -> Option<String> {
    let mut lines = event.chunk().split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    Some(text.trim().to_owned())
}

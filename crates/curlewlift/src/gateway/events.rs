//! Splits a streamed response into the events that the caller does not have yet.

use bytes::Bytes;
use bytes::BytesMut;
use curlewlift_core::response::DataEnd;
use curlewlift_core::sse::Decoder;
use curlewlift_core::sse::Progress;
use curlewlift_core::sse::ResumePoint;

/// Splits a stream into events, and remembers the last one that was forwarded.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    decoder: Decoder,
    progress: Progress,
}

impl EventSplitter {
    /// Appends received bytes, and returns the complete events that the caller does not have yet.
    pub(super) fn push(&mut self, data: &[u8]) -> Bytes {
        self.decoder.push(data);
        let mut complete = BytesMut::new();
        while let Some(event) = self.decoder.next_event() {
            if self.progress.record(&event) {
                complete.extend_from_slice(&event);
            }
        }
        complete.freeze()
    }

    /// Whether the caller has an event.
    pub(super) fn has_event(&self) -> bool {
        self.progress.has_event()
    }

    /// Whether the stream may end here: no event is incomplete.
    pub(super) fn is_at_boundary(&self) -> bool {
        self.decoder.is_at_boundary()
    }

    /// Where the bytes that were appended last end.
    pub(super) fn data_end(&self) -> DataEnd {
        self.decoder.data_end()
    }

    /// How many bytes have arrived since the last complete event.
    pub(super) fn incomplete_bytes(&self) -> usize {
        self.decoder.incomplete_bytes()
    }

    /// Drops the incomplete event of a stream that broke off, and returns where the stream can be resumed, if it can.
    pub(super) fn resume(&mut self) -> Option<ResumePoint> {
        self.decoder = Decoder::default();
        self.progress.resume_point()
    }
}

//! Times the events of a stream.

use std::time::Duration;

use curlewlift_core::pool::StreamTimes;
use tokio::time::Instant;

/// When the events of a stream have arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamTimer {
    /// From sending the request to the head of the response.
    first_byte: Duration,
    /// When the head arrived.
    head_received: Instant,
    /// When the first and the last event arrived; none before the first.
    events_from_to: Option<(Instant, Instant)>,
    longest_gap: Duration,
    events: u32,
}

impl StreamTimer {
    /// A stream whose head arrived at `head_received`, `first_byte` after its request was sent.
    pub(super) fn new(first_byte: Duration, head_received: Instant) -> Self {
        Self {
            first_byte,
            head_received,
            events_from_to: None,
            longest_gap: Duration::ZERO,
            events: 0,
        }
    }

    /// Records that an event has arrived. If it is the first, returns the time since the request was sent.
    pub(super) fn record_event(&mut self, now: Instant) -> Option<Duration> {
        self.events = self.events.saturating_add(1);
        let Some((first, last)) = self.events_from_to else {
            self.events_from_to = Some((now, now));
            return Some(self.since_sent(now));
        };
        self.longest_gap = self.longest_gap.max(now - last);
        self.events_from_to = Some((first, now));
        None
    }

    /// The times of the stream; none if it had no event.
    pub(super) fn times(&self) -> Option<StreamTimes> {
        let (first, last) = self.events_from_to?;
        let gaps = self.events.saturating_sub(1);
        Some(StreamTimes {
            first_byte: self.first_byte,
            first_event: self.since_sent(first),
            gap: (gaps > 0).then(|| (last - first) / gaps),
            longest_gap: self.longest_gap,
            events: self.events,
        })
    }

    fn since_sent(&self, now: Instant) -> Duration {
        self.first_byte + now.saturating_duration_since(self.head_received)
    }
}

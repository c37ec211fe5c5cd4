//! Measures how long requests wait only because of rate limits that servers announced.

use std::time::Duration;

use crate::clock::Instant;

/// Adds up the time during which requests were queued although a server had room, because the server's rate limit
/// was used up.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LimitWait {
    since: Option<Instant>,
    total: Duration,
}

impl LimitWait {
    /// Sets whether requests wait for rate limits from `now` on.
    pub(super) fn set(&mut self, is_waiting: bool, now: Instant) {
        if let Some(since) = self.since.take() {
            self.total += now.since(since);
        }
        self.since = is_waiting.then_some(now);
    }

    /// Returns the time added since the last call, in whole milliseconds; the fraction is carried over to the next
    /// call.
    pub(super) fn take(&mut self) -> Duration {
        let fraction = Duration::from_nanos(u64::from(self.total.subsec_nanos()) % 1_000_000);
        let whole = self.total.saturating_sub(fraction);
        self.total = fraction;
        whole
    }
}

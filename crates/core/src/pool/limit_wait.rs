//! For how long requests waited only because servers had named limits.

use std::time::Duration;

use crate::clock::Instant;

/// Adds up the time in which requests waited while a server had room, and had got what it takes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LimitWait {
    since: Option<Instant>,
    total: Duration,
}

impl LimitWait {
    /// Says whether requests wait so from `now` on.
    pub(super) fn set(&mut self, is_held: bool, now: Instant) {
        if let Some(since) = self.since.take() {
            self.total += now.since(since);
        }
        self.since = is_held.then_some(now);
    }

    /// The time since this was last asked for, in whole milliseconds; the rest is told later.
    pub(super) fn take(&mut self) -> Duration {
        let rest = Duration::from_nanos(u64::from(self.total.subsec_nanos()) % 1_000_000);
        let whole = self.total.saturating_sub(rest);
        self.total = rest;
        whole
    }
}

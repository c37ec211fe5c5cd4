//! The progress of a long transfer, for a person at a terminal.

use std::time::Duration;
use std::time::Instant;

use crate::platform::Transfer;

/// How long a transfer takes at least before its progress is shown.
const SHOW_AFTER: Duration = Duration::from_millis(500);

/// Interval at which the progress is updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Moves to the start of the line and clears it.
const CLEAR_LINE: &str = "\r\x1b[K";

/// Decides when to write which progress of a transfer.
#[derive(Debug)]
pub(super) struct Progress {
    verb: &'static str,
    next_update: Instant,
    is_shown: bool,
}

impl Progress {
    /// The progress of a transfer that starts `now`; `verb` says what is done with the bytes.
    pub(super) fn new(verb: &'static str, now: Instant) -> Self {
        Self {
            verb,
            next_update: now + SHOW_AFTER,
            is_shown: false,
        }
    }

    /// The text to write, if it is time to.
    pub(super) fn update(&mut self, transfer: Transfer, now: Instant) -> Option<String> {
        if now < self.next_update {
            return None;
        }
        self.next_update = now + UPDATE_INTERVAL;
        self.is_shown = true;
        let (verb, done) = (self.verb, megabytes(transfer.bytes));
        let total = transfer.total.map(megabytes);
        let total = total.map_or(String::new(), |total| format!(" of {total}"));
        Some(format!("{CLEAR_LINE}{verb} {done}{total} MB"))
    }

    /// The text to write after the transfer.
    pub(super) fn finish(&mut self) -> &'static str {
        if std::mem::take(&mut self.is_shown) {
            CLEAR_LINE
        } else {
            ""
        }
    }
}

fn megabytes(bytes: usize) -> String {
    let tenths = bytes / 100_000;
    format!("{}.{}", tenths / 10, tenths % 10)
}

#[cfg(test)]
mod tests;

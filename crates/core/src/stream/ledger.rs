//! What a gateway knows of streams, and what it has still to report of them.

use std::collections::VecDeque;

use crate::clock::Instant;

use super::Found;
use super::Key;
use super::Record;
use super::Table;

/// The most streams that a gateway knows of.
const MAX_STREAMS: usize = 32_768;

/// The most streams in one report.
pub const MAX_REPORTED: usize = 64;

/// The streams that a gateway knows of: those whose first events it has forwarded, and the copies that it keeps for others.
///
/// It reports each to the hub once, and all of them to a new hub, which starts without any.
#[derive(Clone, Debug)]
pub struct Ledger {
    table: Table,
    /// The streams to report, in this order.
    pending: VecDeque<Key>,
    hub_id: u64,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            table: Table::new(MAX_STREAMS),
            pending: VecDeque::new(),
            hub_id: 0,
        }
    }
}

impl Ledger {
    /// Records a stream whose first event is forwarded here.
    pub fn record(&mut self, record: &Record, now: Instant) {
        self.table.record(record, now);
        // Streams that have just begun go before those that a new hub still lacks.
        self.pending.push_front(record.key);
        self.pending.truncate(MAX_STREAMS);
    }

    /// Keeps copies of the hub's records. They are not reported, as the hub has them.
    pub fn keep(&mut self, copies: &[Record], now: Instant) {
        for copy in copies {
            self.table.record(copy, now);
        }
    }

    /// Records streams that another gateway could not report itself.
    pub fn relay(&mut self, records: &[Record], now: Instant) {
        for record in records {
            self.record(record, now);
        }
    }

    /// Returns what is known of a stream.
    #[must_use]
    pub fn find(&self, key: Key, now: Instant) -> Option<Found> {
        self.table.find(key, now)
    }

    /// Sets the hub that replied last. A new one is to be told of every stream.
    pub fn set_hub(&mut self, hub_id: u64) {
        if std::mem::replace(&mut self.hub_id, hub_id) != hub_id {
            self.pending = self.table.newest().collect();
        }
    }

    /// Makes the next reply of a hub count as that of a new one, as it may lack streams that were passed to another gateway.
    pub fn forget_hub(&mut self) {
        self.hub_id = 0;
    }

    /// Returns whether there are streams to report.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes the next streams to report, at most [`MAX_REPORTED`].
    pub fn take_pending(&mut self, now: Instant) -> Vec<Record> {
        let mut records = Vec::new();
        while records.len() < MAX_REPORTED
            && let Some(key) = self.pending.pop_front()
        {
            records.extend(self.table.get(key, now));
        }
        records
    }

    /// Returns streams to those that are to be reported, as a report was lost.
    pub fn put_back(&mut self, records: &[Record]) {
        for record in records.iter().rev() {
            self.pending.push_front(record.key);
        }
    }
}

//! The tables that a host can give to others.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::code::Refusal;
use crate::state::Publication;

use super::Payload;
use super::PayloadId;

/// Number of tables that are kept: downloads of a table go on while newer ones are published.
const MAX_TABLES: usize = 8;

/// Size in bytes of the packed tables that are kept in all, beyond the newest two.
const MAX_TABLE_BYTES: usize = 4 << 20;

/// Number of payloads that are kept.
const MAX_PAYLOADS: usize = 16;

/// Computes a payload; it takes too long for a thread that has other work.
#[derive(Clone, Debug)]
pub struct Job {
    /// The table that the gateway has; none if it needs the whole table.
    base: Option<Publication>,
    publication: Publication,
}

impl Job {
    /// The versions of the gateway's table, or 0, and of the payload's.
    #[must_use]
    pub fn versions(&self) -> (u64, u64) {
        let base = self.base.as_ref().map_or(0, |base| base.version);
        (base, self.publication.version)
    }

    /// Computes the payload.
    ///
    /// # Errors
    ///
    /// If a document is damaged.
    pub fn run(&self) -> Result<Payload, Refusal> {
        self.base.as_ref().map_or_else(
            || Ok(self.whole()),
            |base| Payload::patch(base, &self.publication),
        )
    }

    /// Returns the payload with the whole table.
    #[must_use]
    pub fn whole(&self) -> Payload {
        Payload::whole(&self.publication)
    }
}

/// The newest tables of a host, and the payloads that were made of them or received.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// The newest last.
    tables: VecDeque<Publication>,
    /// Payloads, with the version of the table that a gateway must have to use it, or 0. The last used last.
    payloads: VecDeque<(u64, Arc<Payload>)>,
}

impl Store {
    /// Adds a table, if it is newer than those that are stored.
    pub fn add_table(&mut self, publication: &Publication) {
        if publication.version <= self.newest() {
            return;
        }
        self.tables.push_back(publication.clone());
        let size = |table: &Publication| table.document.as_packed().len();
        let mut bytes: usize = self.tables.iter().map(size).sum();
        while self.tables.len() > MAX_TABLES || self.tables.len() > 2 && bytes > MAX_TABLE_BYTES {
            bytes -= self.tables.pop_front().as_ref().map_or(0, size);
        }
    }

    /// Adds a payload for gateways that have table `base`, or any if it is 0.
    pub fn add_payload(&mut self, base: u64, payload: Arc<Payload>) {
        self.payloads.push_back((base, payload));
        if self.payloads.len() > MAX_PAYLOADS {
            self.payloads.pop_front();
        }
    }

    /// Returns the version of the newest table that can be given to others, or 0.
    #[must_use]
    pub fn newest(&self) -> u64 {
        let table = self.tables.back().map_or(0, |table| table.version);
        let payloads = self.payloads.iter();
        let payload = payloads.map(|(_, payload)| payload.get_id().version).max();
        table.max(payload.unwrap_or_default())
    }

    /// Returns the payload that a gateway has received in part, or the newest one for a gateway that has table
    /// `in_effect`; none if that is not stored.
    #[must_use]
    pub fn find(&self, in_effect: u64, partial: Option<PayloadId>) -> Option<Arc<Payload>> {
        let has_base = self.tables.iter().any(|table| table.version == in_effect);
        let newest = self.newest();
        let is_usable = |base: u64, id: PayloadId| {
            id.version == newest && (base == in_effect || !has_base && id.base == 0)
        };
        let find = |matches: &dyn Fn(u64, PayloadId) -> bool| {
            let mut payloads = self.payloads.iter();
            let found = payloads.find(|(base, payload)| matches(*base, payload.get_id()));
            found.map(|(_, payload)| Arc::clone(payload))
        };
        let continued = find(&|_, id| Some(id) == partial);
        continued.or_else(|| find(&is_usable).filter(|_| newest > in_effect))
    }

    /// Returns the job that computes the newest payload for a gateway that has table `in_effect`; none if it has the newest
    /// table already, or if that is not stored.
    #[must_use]
    pub fn job(&self, in_effect: u64) -> Option<Job> {
        let publication = self.tables.back()?;
        if publication.version <= in_effect {
            return None;
        }
        let mut tables = self.tables.iter();
        let base = tables.find(|table| table.version == in_effect);
        Some(Job {
            base: base.cloned(),
            publication: publication.clone(),
        })
    }
}

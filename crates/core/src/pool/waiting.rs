//! Who waits, in order: by rank, then by arrival.

use std::collections::BTreeMap;

use super::Ask;
use super::Ticket;

/// Requests that wait.
#[derive(Clone, Debug, Default)]
pub(super) struct Waiting {
    order: BTreeMap<(u8, Ticket), Ask>,
}

impl Waiting {
    pub(super) fn add(&mut self, ticket: Ticket, ask: Ask) {
        self.order.insert((ask.rank, ticket), ask);
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> bool {
        let key = self.order.keys().find(|(_, other)| *other == ticket);
        let Some(key) = key.copied() else {
            return false;
        };
        self.order.remove(&key).is_some()
    }

    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    /// The one that is last: of the lowest rank, and there the newest.
    pub(super) fn last(&self) -> Option<Ticket> {
        self.order.last_key_value().map(|((_, ticket), _)| *ticket)
    }

    /// In order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (Ticket, &Ask)> {
        self.order.iter().map(|((_, ticket), ask)| (*ticket, ask))
    }
}

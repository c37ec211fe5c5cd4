//! Estimates of which prompt prefixes each server has cached.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::unit::Tokens;

/// Maximum number of servers stored for one prefix.
const MAX_SERVERS_PER_PREFIX: usize = 4;

/// Maximum number of prefixes stored in total.
const MAX_PREFIXES: usize = 65_536;

/// A prefix of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefix {
    /// A hash of its text, and of the customer's name unless the customer shares prefixes.
    pub hash: u64,
    /// Its length in tokens.
    pub length: Tokens,
}

/// The servers that are expected to have each prefix cached.
///
/// A wrong estimate only costs time. An estimate is added when a prompt is sent, and removed when a
/// response reports fewer cached tokens than expected.
#[derive(Clone, Debug, Default)]
pub(super) struct CachedPrefixes {
    holders: HashMap<u64, Vec<usize>>,
}

impl CachedPrefixes {
    /// The indexes of the servers that may have `prefix` cached.
    pub(super) fn holders(&self, prefix: Prefix) -> &[usize] {
        self.holders.get(&prefix.hash).map_or(&[], Vec::as_slice)
    }

    pub(super) fn add(&mut self, prefix: Prefix, server: usize) {
        if self.holders.len() >= MAX_PREFIXES {
            self.holders.clear();
        }
        let holders = self.holders.entry(prefix.hash).or_default();
        if holders.contains(&server) {
            return;
        }
        if holders.len() >= MAX_SERVERS_PER_PREFIX {
            holders.remove(0);
        }
        holders.push(server);
    }

    pub(super) fn remove(&mut self, prefix: Prefix, server: usize) {
        if let Some(holders) = self.holders.get_mut(&prefix.hash) {
            holders.retain(|holder| *holder != server);
        }
    }

    /// Removes all estimates for `server`.
    pub(super) fn remove_server(&mut self, server: usize) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| *holder != server);
        }
    }
}

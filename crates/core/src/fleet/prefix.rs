//! Which prompts a server may have cached.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::unit::Tokens;

/// Servers remembered for one prefix.
const MAX_SERVERS_PER_PREFIX: usize = 4;

/// Prefixes remembered in all.
const MAX_PREFIXES: usize = 65_536;

/// The beginning of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefix {
    /// A hash of its text, and of the customer's name unless the customer shares prefixes.
    pub hash: u64,
    /// Its length.
    pub length: Tokens,
}

/// What is believed of the servers' caches.
///
/// A wrong belief costs time only. It is set when a prompt is sent, and taken back when an answer
/// tells that less was cached than was believed.
#[derive(Clone, Debug, Default)]
pub(super) struct CachedPrefixes {
    holders: HashMap<u64, Vec<usize>>,
}

impl CachedPrefixes {
    /// The servers that may hold `prefix`.
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

    /// Forgets all that is believed of `server`.
    pub(super) fn remove_server(&mut self, server: usize) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| *holder != server);
        }
    }
}

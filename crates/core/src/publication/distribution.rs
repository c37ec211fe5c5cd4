//! Distribution of a large routing table, in chunks and to a few gateways at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id::Host;

use super::CHUNK_BYTES;

/// Maximum time in seconds by which chunks to concurrent gateways may delay the hub's other
/// messages and a leader's heartbeats.
const MAX_LINK_DELAY_S: f64 = 0.008;

/// Minimum number of gateways that fetch a table concurrently.
const MIN_CONCURRENT_GATEWAYS: usize = 6;

/// Number of gateways that fetch a table concurrently from another gateway, whose link is for its callers.
const MAX_PEERS: usize = 2;

/// Time after which a gateway that requests no further chunk makes room for another one.
const TRANSFER_IDLE_TIMEOUT: Duration = Duration::from_millis(600);

/// Limits how many gateways fetch the table concurrently.
///
/// All gateways at once would fill the leader's link for longer than a request waits, so that none
/// would receive the whole table and the leader's heartbeats would be lost.
#[derive(Clone, Debug)]
pub struct Distribution {
    transfers: BTreeMap<Host, Instant>,
    /// How many gateways may fetch the table concurrently.
    max_gateways: usize,
}

impl Distribution {
    /// Creates the limit for a host with a control replica and a link of `link_bytes_per_s`.
    #[must_use]
    pub fn new(link_bytes_per_s: f64) -> Self {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let max_gateways = (link_bytes_per_s * MAX_LINK_DELAY_S) as usize / CHUNK_BYTES;
        Self {
            transfers: BTreeMap::new(),
            max_gateways: max_gateways.max(MIN_CONCURRENT_GATEWAYS),
        }
    }

    /// Creates the limit for a gateway that gives a table to others.
    #[must_use]
    pub fn between_gateways() -> Self {
        Self {
            transfers: BTreeMap::new(),
            max_gateways: MAX_PEERS,
        }
    }

    /// Returns whether `host` may receive a chunk at `now`.
    pub fn admit(&mut self, host: &Host, now: Instant) -> bool {
        if !self.transfers.contains_key(host) && self.transfers.len() >= self.max_gateways {
            return false;
        }
        self.transfers.insert(host.clone(), now);
        true
    }

    /// Removes gateways that have not requested a chunk for a while, and returns their number.
    pub fn expire(&mut self, now: Instant) -> usize {
        let former_count = self.transfers.len();
        self.transfers
            .retain(|_, last_request| now.since(*last_request) < TRANSFER_IDLE_TIMEOUT);
        former_count - self.transfers.len()
    }

    /// Removes `host`, which has received the whole table.
    pub fn finish(&mut self, host: &Host) {
        self.transfers.remove(host);
    }
}

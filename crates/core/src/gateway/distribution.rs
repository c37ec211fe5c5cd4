//! Distribution of a large routing table, in chunks and to a few gateways at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;
use crate::id::Host;
use crate::state::Publication;

/// Size of a chunk: 13 ms of a link of 10 Mbit/s.
const CHUNK_BYTES: usize = 16 << 10;

/// Maximum time in seconds by which chunks to concurrent gateways may delay the hub's other
/// messages and a leader's heartbeats.
const MAX_LINK_DELAY_S: f64 = 0.008;

/// Minimum number of gateways that fetch a table concurrently.
const MIN_CONCURRENT_GATEWAYS: usize = 6;

/// Time after which a gateway that requests no further chunk makes room for another one.
const TRANSFER_IDLE_TIMEOUT: Duration = Duration::from_millis(600);

/// A chunk of a packed document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The version of the table.
    pub table_version: u64,
    /// The length of the whole document in bytes.
    pub total_len: usize,
    /// The offset of the chunk in bytes.
    pub offset: usize,
    /// The text of the chunk.
    pub text: String,
}

impl Chunk {
    /// Returns the chunk of `publication` at `offset`, or the first chunk if `publication` has
    /// another version than `version`, as another table is active by now.
    #[must_use]
    pub fn cut(publication: &Publication, version: u64, offset: usize) -> Self {
        let text = publication.document.as_packed();
        let start = if version == publication.version {
            offset
        } else {
            0
        };
        let offset = text.floor_char_boundary(start);
        let end = text.floor_char_boundary(offset + CHUNK_BYTES);
        Self {
            table_version: publication.version,
            total_len: text.len(),
            offset,
            text: text[offset..end].to_owned(),
        }
    }
}

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
    /// Creates the limit for a leader with a link of `link_bytes_per_s`.
    #[must_use]
    pub fn new(link_bytes_per_s: f64) -> Self {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let max_gateways = (link_bytes_per_s * MAX_LINK_DELAY_S) as usize / CHUNK_BYTES;
        Self {
            transfers: BTreeMap::new(),
            max_gateways: max_gateways.max(MIN_CONCURRENT_GATEWAYS),
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

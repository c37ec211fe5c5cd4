//! Handing out a large routing table: in pieces, to a few gateways at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;
use crate::id::Host;
use crate::state::Publication;

/// The size of a piece, in bytes: 13 ms of a link of 10 Mbit/s.
const SIZE: usize = 16 << 10;

/// For how long what gateways are sent at the same time may hold up the hub's other words, and a leader's heartbeats, in
/// seconds.
const HELD_UP: f64 = 0.008;

/// The least gateways that are handed a table at the same time.
const LEAST: usize = 6;

/// After how long another takes the turn of one that asks for no further piece.
const IDLE: Duration = Duration::from_millis(600);

/// A piece of a packed document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The table's number.
    pub number: u64,
    /// The length of the whole, in bytes.
    pub total_len: usize,
    /// Where the piece begins.
    pub offset: usize,
    /// The piece.
    pub text: String,
}

impl Chunk {
    /// The piece of `publication` that follows the first `from` bytes of number `number`; the first one
    /// where another table is in force by now.
    #[must_use]
    pub fn cut(publication: &Publication, number: u64, offset: usize) -> Self {
        let text = publication.document.as_packed();
        let wanted = if number == publication.number {
            offset
        } else {
            0
        };
        let offset = text.floor_char_boundary(wanted);
        let end = text.floor_char_boundary(offset + SIZE);
        Self {
            number: publication.number,
            total_len: text.len(),
            offset,
            text: text[offset..end].to_owned(),
        }
    }
}

/// Whose turn it is to be handed the table.
///
/// All at once fill the leader's link for longer than any question waits, so that none of them gets the
/// whole and the leader is not heard any more.
#[derive(Clone, Debug)]
pub struct Distribution {
    turns: BTreeMap<Host, Instant>,
    /// How many gateways are handed it at the same time.
    most: usize,
}

impl Distribution {
    /// For a leader whose link carries `link` bytes a second.
    #[must_use]
    pub fn new(link: f64) -> Self {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let most = (link * HELD_UP) as usize / SIZE;
        Self {
            turns: BTreeMap::new(),
            most: most.max(LEAST),
        }
    }

    /// Whether `host` may be handed a piece at `now`.
    pub fn admit(&mut self, host: &Host, now: Instant) -> bool {
        if !self.turns.contains_key(host) && self.turns.len() >= self.most {
            return false;
        }
        self.turns.insert(host.clone(), now);
        true
    }

    /// Takes the turns of those that have not asked for long; how many there were.
    pub fn expire(&mut self, now: Instant) -> usize {
        let held = self.turns.len();
        self.turns.retain(|_, asked| now.since(*asked) < IDLE);
        held - self.turns.len()
    }

    /// `host` has got the whole.
    pub fn finish(&mut self, host: &Host) {
        self.turns.remove(host);
    }
}

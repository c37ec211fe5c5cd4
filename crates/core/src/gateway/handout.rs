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

/// How many gateways are handed a table at the same time: what they are sent holds up the hub's other
/// words, and a leader's heartbeats, for some 80 ms on a link of 10 Mbit/s.
const AT_ONCE: usize = 6;

/// After how long another takes the turn of one that asks for no further piece.
const IDLE: Duration = Duration::from_millis(600);

/// A piece of a packed document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The table's number.
    pub number: u64,
    /// The length of the whole, in bytes.
    pub whole: usize,
    /// Where the piece begins.
    pub from: usize,
    /// The piece.
    pub text: String,
}

impl Piece {
    /// The piece of `publication` that follows the first `from` bytes of number `number`; the first one
    /// where another table is in force by now.
    #[must_use]
    pub fn cut(publication: &Publication, number: u64, from: usize) -> Self {
        let text = publication.document.as_packed();
        let wanted = if number == publication.number {
            from
        } else {
            0
        };
        let from = text.floor_char_boundary(wanted);
        let end = text.floor_char_boundary(from + SIZE);
        Self {
            number: publication.number,
            whole: text.len(),
            from,
            text: text[from..end].to_owned(),
        }
    }
}

/// Whose turn it is to be handed the table.
///
/// All at once fill the leader's link for longer than any question waits, so that none of them gets the
/// whole and the leader is not heard any more.
#[derive(Clone, Debug, Default)]
pub struct Handout {
    turns: BTreeMap<Host, Instant>,
}

impl Handout {
    /// Whether `host` may be handed a piece at `now`.
    pub fn admit(&mut self, host: &Host, now: Instant) -> bool {
        self.turns.retain(|_, asked| now.since(*asked) < IDLE);
        if !self.turns.contains_key(host) && self.turns.len() >= AT_ONCE {
            return false;
        }
        self.turns.insert(host.clone(), now);
        true
    }

    /// `host` has got the whole.
    pub fn done(&mut self, host: &Host) {
        self.turns.remove(host);
    }
}

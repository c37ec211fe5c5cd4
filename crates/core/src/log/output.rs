//! What a replica asks its caller to do, and the state that it stores on disk.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Disk;
use crate::id::Host;
use crate::id::Index;
use crate::id::Term;

use super::Entry;
use super::Members;
use super::Message;

/// The state that must be on disk before a vote or a term takes effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The disk's identity.
    pub disk: Disk,
    /// How many times a replica has started on this disk.
    pub boot: u64,
    /// The newest term seen.
    pub term: Term,
    /// The candidate that it voted for in that term.
    pub vote: Option<Host>,
    /// The newest start seen of each other disk.
    #[serde(rename = "seen")]
    pub seen_boots: Vec<Boot>,
}

/// One start of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Boot {
    /// The disk.
    pub disk: Disk,
    /// How many times a replica had started on that disk.
    pub number: u64,
    /// A random number generated at the start. It distinguishes the disk from a copy of it that
    /// was started the same number of times.
    #[serde(rename = "mark")]
    pub nonce: u64,
}

/// The content of the state machine up to an index of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry in it.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The replica set at that index.
    pub members: Members,
    /// The state, as the state machine encodes it.
    #[serde(with = "super::bytes")]
    pub state: Vec<u8>,
}

/// One write to disk; writes are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// Replaces the hard state.
    #[serde(rename = "Hard")]
    HardState(HardState),
    /// Drops every entry after this index.
    #[serde(rename = "Cut")]
    Truncate(Index),
    /// Appends an entry.
    Entry(Entry),
    /// Replaces the snapshot, and drops the entries that it covers.
    Snapshot(Snapshot),
}

/// The number of a batch of writes; pass it to [`super::Replica::on_synced`] once they are on disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SyncId(pub u64);

/// The state of a replica as its disk has it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SavedState {
    /// The hard state.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Snapshot,
    /// The entries after it.
    pub entries: Vec<Entry>,
}

impl SavedState {
    /// Applies one write to this state.
    pub fn apply(&mut self, write: Write) {
        match write {
            Write::HardState(hard) => self.hard_state = hard,
            Write::Truncate(after) => self.entries.retain(|entry| entry.index <= after),
            Write::Entry(entry) => self.entries.push(entry),
            Write::Snapshot(snapshot) => {
                self.entries.retain(|entry| entry.index > snapshot.index);
                self.snapshot = snapshot;
            }
        }
    }
}

/// What the caller must do after an event, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Writes to carry out.
    pub writes: Vec<Write>,
    /// If set, sync the writes, then call [`super::Replica::on_synced`] with this.
    pub sync: Option<SyncId>,
    /// Messages to send now, without waiting for the sync.
    pub sends: Vec<Message>,
    /// A snapshot to replace the state machine with, before `commits` are applied.
    pub install: Option<Snapshot>,
    /// Committed entries to apply, in order.
    pub commits: Vec<Entry>,
}

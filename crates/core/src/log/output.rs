//! What the machine asks of its caller.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Disk;
use crate::id::Host;
use crate::id::Index;
use crate::id::Term;

use super::Entry;
use super::Members;
use super::Message;

/// What must be on disk before a vote or a term counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The disk's identity.
    pub disk: Disk,
    /// How often the disk was started.
    pub boot: u64,
    /// The newest term seen.
    pub term: Term,
    /// Whom it voted for in that term.
    pub vote: Option<Host>,
    /// The newest boot seen of each other disk.
    #[serde(rename = "seen")]
    pub seen_boots: Vec<Boot>,
}

/// One start of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Boot {
    /// The disk.
    pub disk: Disk,
    /// How often that disk was started.
    pub number: u64,
    /// Drawn at the start: a copy of the disk that was started as often draws another.
    #[serde(rename = "mark")]
    pub nonce: u64,
}

/// The state of the machine above the log, up to a place.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The place of the last entry in it.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The replicas at that place.
    pub members: Members,
    /// The state, as the machine above the log encodes it.
    #[serde(with = "super::bytes")]
    pub state: Vec<u8>,
}

/// Something to write, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// Replaces the hard state.
    #[serde(rename = "Hard")]
    HardState(HardState),
    /// Drops every entry after this place.
    #[serde(rename = "Cut")]
    Truncate(Index),
    /// Adds an entry at the end.
    Entry(Entry),
    /// Replaces the snapshot, and drops the entries that it covers.
    Snapshot(Snapshot),
}

/// The number of a batch of writes; give it back to [`super::Replica::on_synced`] once they are on
/// disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SyncId(pub u64);

/// What was read back from a disk.
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
    /// Takes in one write, as the disk does.
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

/// What to do after an event, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Write these.
    pub writes: Vec<Write>,
    /// Sync, then call [`super::Replica::on_synced`] with this.
    pub sync: Option<SyncId>,
    /// Send these now.
    pub sends: Vec<Message>,
    /// Replace the state above the log by this one, before applying `commits`.
    pub install: Option<Snapshot>,
    /// Apply these, in order.
    pub commits: Vec<Entry>,
}

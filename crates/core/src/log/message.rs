//! What replicas say to each other.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Disk;
use crate::id::Host;
use crate::id::Index;
use crate::id::Term;

use super::Entry;
use super::Snapshot;

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's host.
    pub from: Host,
    /// The sender's disk.
    pub disk: Disk,
    /// How often the sender's disk was started: an older copy of it tells a smaller number.
    pub boot: u64,
    /// What the sender drew when it started.
    pub nonce: u64,
    /// The receiver's host.
    pub to: Host,
    /// The receiver's disk; a replica with another disk is not meant.
    pub to_disk: Disk,
    /// The sender's term.
    pub term: Term,
    /// What it says.
    pub payload: Payload,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Would you vote for me in the next term?
    PreVote {
        /// Term of the sender's last entry.
        last_term: Term,
        /// Place of the sender's last entry.
        last_index: Index,
    },
    /// Answer to a probe, in the sender's own term.
    PreVoteReply {
        /// Whether it would.
        granted: bool,
    },
    /// Vote for me in this term.
    Vote {
        /// Term of the sender's last entry.
        last_term: Term,
        /// Place of the sender's last entry.
        last_index: Index,
    },
    /// Answer to a request for a vote.
    VoteReply {
        /// Whether it has.
        granted: bool,
    },
    /// Entries from the leader; none is a heartbeat.
    Append {
        /// Place before the first entry.
        prev_index: Index,
        /// Term at that place.
        prev_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// How far the leader has committed.
        commit: Index,
        /// The leader's heartbeat round.
        round: u64,
    },
    /// What the leader has dropped from its log, as a snapshot.
    InstallSnapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// The leader's heartbeat round.
        round: u64,
    },
    /// Answer to entries or a snapshot.
    AppendReply {
        /// Whether the place before the first entry was there.
        matched: bool,
        /// Up to where the sender's synced log equals the leader's; where `matched` is false, the
        /// place of the sender's last entry.
        index: Index,
        /// The round that is answered.
        round: u64,
    },
}

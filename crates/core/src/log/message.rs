//! Messages between replicas.

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
    /// How many times a replica has started on the sender's disk. An older copy of the disk has a
    /// smaller number.
    pub boot: u64,
    /// The random number that the sender generated when it started.
    pub nonce: u64,
    /// The receiver's host.
    pub to: Host,
    /// The receiver's disk; a replica with another disk ignores the message.
    pub to_disk: Disk,
    /// The sender's term.
    pub term: Term,
    /// The content.
    pub payload: Payload,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Asks whether the receiver would vote for the sender in the next term.
    PreVote {
        /// Term of the sender's last entry.
        last_term: Term,
        /// Index of the sender's last entry.
        last_index: Index,
    },
    /// Response to a pre-vote, in the sender's own term.
    PreVoteReply {
        /// Whether the sender would vote for the receiver.
        granted: bool,
    },
    /// Requests a vote for the sender in this term.
    Vote {
        /// Term of the sender's last entry.
        last_term: Term,
        /// Index of the sender's last entry.
        last_index: Index,
    },
    /// Response to a request for a vote.
    VoteReply {
        /// Whether the sender has voted for the receiver.
        granted: bool,
    },
    /// Entries from the leader; without entries it is a heartbeat.
    Append {
        /// Index before the first entry.
        prev_index: Index,
        /// Term at that index.
        prev_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// The highest index that the leader has committed.
        commit: Index,
        /// The leader's heartbeat round.
        round: u64,
    },
    /// A snapshot that replaces entries which the leader has dropped from its log.
    InstallSnapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// The leader's heartbeat round.
        round: u64,
    },
    /// Response to entries or a snapshot.
    AppendReply {
        /// Whether the receiver of the entries had the entry before the first one.
        matched: bool,
        /// The index up to which the sender's synced log equals the leader's. If `matched` is false,
        /// the index of the sender's last entry, or the one before `prev_index` if that is lower.
        index: Index,
        /// The heartbeat round of the message that this responds to.
        round: u64,
    },
}

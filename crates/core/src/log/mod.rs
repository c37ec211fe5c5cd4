//! The replicated log of the control hosts: a consensus protocol like Raft, as a state machine
//! without I/O.
//!
//! It has leader election with a pre-vote, commit by a majority that has synced, learners, changes
//! of the replica set one at a time, and snapshots. [`Replica`] is the state machine. Its caller
//! owns the network, the disk and the clock, and carries out each [`Output`].

mod bytes;
mod election;
mod entry;
mod getters;
mod maintainer;
mod members;
mod membership;
mod message;
mod output;
mod replica;
mod replicate;

pub use entry::Body;
pub use entry::Entry;
pub use maintainer::Maintainer;
pub use maintainer::MemberChange;
pub use members::Member;
pub use members::Members;
pub use message::Message;
pub use message::Payload;
pub use output::Boot;
pub use output::HardState;
pub use output::Output;
pub use output::SavedState;
pub use output::Snapshot;
pub use output::SyncId;
pub use output::Write;
pub use replica::Replica;
pub use replica::Role;
pub use replica::Timing;

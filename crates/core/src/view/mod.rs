//! Views: the set of entries that share the work, and the leases that allow an entry to act.
//!
//! A [`Roster`] is a numbered, immutable list of entries from which every process computes the
//! same owner of a service and the same replicas of a shard. [`Grantor`] runs at the leader of the
//! control hosts and grants leases. [`Holder`] runs at each entry, which acts only while it has a
//! lease. A new roster becomes active once each member of the previous one has received it or has
//! lost its lease, clock drift included. So no two entries ever act under different rosters at the
//! same time.

mod grantor;
mod holder;
mod lease;
mod roster;

pub use grantor::Grantor;
pub use holder::Holder;
pub use lease::Grant;
pub use lease::LeaseTiming;
pub use lease::Renewal;
pub use lease::Update;
pub use roster::Member;
pub use roster::REPLICAS_PER_SHARD;
pub use roster::Roster;

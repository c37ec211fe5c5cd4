//! The view: which entries share the work, and who may act under it.
//!
//! A [`Roster`] is a numbered, immutable list of entries from which every process computes the
//! same owner of a service and the same replicas of a shard. [`Grantor`] runs at the leader of the
//! control hosts and grants leases; [`Holder`] runs at each entry and acts only under one. A new
//! roster becomes active once each member of the former one has adopted it or its lease, drift
//! included, has run out: no two entries ever act under two rosters at once.

mod grantor;
mod holder;
mod lease;
mod roster;

pub use grantor::Grantor;
pub use holder::Holder;
pub use lease::Grant;
pub use lease::Lease;
pub use lease::Renewal;
pub use lease::Update;
pub use roster::Member;
pub use roster::REPLICAS_PER_SHARD;
pub use roster::Roster;

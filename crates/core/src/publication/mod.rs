//! How published routing tables reach gateways, and how sure a gateway is that its table is the newest.
//!
//! The leader grants each gateway a lease with every reply to a poll: until it ends, the leader acknowledges no newer table
//! to an operator unless the gateway has heard of it. A gateway denies requests by its table only while it holds a lease.
//! Whoever has a table may give it to others, whole or as a patch against the table that they hold.

mod chunk;
mod distribution;
mod download;
mod grantor;
mod holder;
mod patch;
mod payload;
mod redirects;
mod store;

pub use chunk::CHUNK_BYTES;
pub use chunk::Chunk;
pub use distribution::Distribution;
pub use download::Download;
pub use grantor::Grantor;
pub use grantor::MAX_LEASE;
pub use holder::Holder;
pub use holder::Standing;
pub use patch::Patch;
pub use payload::Payload;
pub use payload::PayloadId;
pub use redirects::Redirects;
pub use redirects::Transfer;
pub use store::Job;
pub use store::Store;

//! Claims of request keys: at most one dispatch for a key.
//!
//! A key belongs to a shard, a shard to three entries of the view. A claim is written to all three
//! before the first byte of a request goes out; the first of the three decides between rivals. A
//! claim is never undone: where its holder is lost, the key's fate is unknown.

mod message;
mod record;
mod table;

pub use message::Claim;
pub use message::Response;
pub use record::Record;
pub use record::Status;
pub use table::CopyResponse;
pub use table::SHARD_COUNT;
pub use table::ShardRecords;
pub use table::Table;

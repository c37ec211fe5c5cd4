//! Claims of request keys, which make sure that a key is dispatched at most once.
//!
//! A key belongs to a shard, and a shard is stored at three entries of the view. A claim is written
//! to all three before the first byte of the request is sent to a server; the first of the three
//! decides between competing claims. A claim is never undone: if its holder is lost, the outcome of
//! the request is unknown.

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

//! Claims of request keys: at most one dispatch for a key.
//!
//! A key belongs to a shard, a shard to three entries of the view. A claim is written to all three
//! before the first byte of a request goes out; the first of the three decides between rivals. A
//! claim is never undone: where its holder is lost, the key's fate is unknown.

mod answer;
mod record;
mod table;

pub use answer::Answer;
pub use answer::Claim;
pub use record::Fate;
pub use record::Record;
pub use table::Copy;
pub use table::SHARDS;
pub use table::Slot;
pub use table::Table;

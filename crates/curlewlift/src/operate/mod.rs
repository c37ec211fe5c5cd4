//! The operators' client: runs commands, and collects the timeline of several processes.

mod collect;
mod operator;

pub use collect::collect;
pub use operator::Operator;

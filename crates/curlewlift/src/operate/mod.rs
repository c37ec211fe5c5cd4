//! The operators' side: gives commands, and collects the time line.

mod collect;
mod operator;

pub use collect::collect;
pub use operator::Operator;

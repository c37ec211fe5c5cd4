//! The operators' side: gives commands, and collects the time line.

mod operator;
mod story;

pub use operator::Operator;
pub use story::collect;

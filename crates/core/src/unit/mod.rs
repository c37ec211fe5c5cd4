//! Sizes and rates.

mod size;

pub use size::Bytes;
pub use size::Rate;
pub use size::Tokens;

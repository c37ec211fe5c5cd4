//! Units: bytes, tokens and rates.

mod size;

pub use size::Bytes;
pub use size::Rate;
pub use size::Tokens;

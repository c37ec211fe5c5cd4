//! Numbered result codes, and whether a request ran.

mod outcome;
mod refusal;
mod table;

pub use outcome::Outcome;
pub use refusal::Refusal;
pub use table::Code;

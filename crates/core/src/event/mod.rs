//! The timeline: numbered events of every process, ordered by a hybrid clock.

mod filter;
mod hybrid;
mod kind;
mod line;
mod ring;

pub use filter::Filter;
pub use hybrid::Clock;
pub use hybrid::Stamp;
pub use kind::Kind;
pub use line::Line;
pub use ring::Ring;
pub use ring::merge;

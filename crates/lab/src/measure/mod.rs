//! A small measure: the decisions in virtual time against small fakes of an engine at its
//! interface, beside the usual ways of choosing.
//!
//! One thread, one seed a run, no sockets. It is not a model of a cluster: messages between entries
//! and the owner only take a fixed time, and an engine is a prompt queue, a batch and a cache.

mod case;
mod engine;
mod load;
mod owner;
mod rival;
mod score;
mod world;

pub use case::Case;
pub use case::Site;
pub use engine::Build;
pub use load::Request;
pub use rival::Rival;
pub use score::Score;
pub use world::Ways;
pub use world::run;

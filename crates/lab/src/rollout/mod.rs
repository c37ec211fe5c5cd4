//! Simulates the roll-out of a new version of a service by the product's own hub.
//!
//! The new version is good or has one of several faults; meanwhile there is no trouble or one of several kinds. A
//! simulated run of 40 s takes about 30 ms.

mod engine;
mod outcome;
mod scenario;
mod world;

pub use engine::Fault;
pub use outcome::Outcome;
pub use scenario::Scenario;
pub use scenario::Trouble;
pub use world::run;

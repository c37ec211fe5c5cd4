//! A service with two versions of its servers, rolled out by the product's own hub in simulated time.
//!
//! The new version is good, or bad in one of several ways; meanwhile there is no trouble, or one of several. A
//! run of 40 s takes some 30 ms.

mod engine;
mod outcome;
mod scenario;
mod world;

pub use engine::Fault;
pub use outcome::Outcome;
pub use scenario::Scenario;
pub use scenario::Trouble;
pub use world::run;

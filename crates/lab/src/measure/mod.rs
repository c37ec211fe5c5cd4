//! Simulates the product's scheduling decisions on simple model engines, and compares them with common load balancers.
//!
//! Each run has one thread, one seed and no sockets. It is not a model of a cluster: messages between entries and the
//! queue owner take a fixed time, and an engine is a prompt queue, a batch and a cache.

mod balancer;
mod engine;
mod load;
mod owner;
mod scenario;
mod score;
mod simulation;

pub use balancer::Balancer;
pub use engine::EngineSpec;
pub use load::Request;
pub use scenario::Case;
pub use scenario::Deployment;
pub use score::Score;
pub use simulation::Strategy;
pub use simulation::run;

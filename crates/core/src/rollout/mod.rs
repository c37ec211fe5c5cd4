//! Roll-outs: moving the traffic of a service to backend servers of another version, or back.
//!
//! The orders of operators and the phases of roll-outs are committed to the log ([`Plans`]). They
//! determine which versions gateways may send to without asking the hub ([`Policy`]). The hub sends
//! a limited share of the requests to the target version ([`Exposure`]), compares its responses
//! with those of the former version ([`Judge`]), and then moves all traffic to the target, or rolls
//! back ([`Trial`]).

mod baseline;
mod exposure;
mod judge;
mod order;
mod plans;
mod policy;
mod trial;
mod trials;
mod version;

pub use baseline::Baseline;
pub use baseline::Sample;
pub use exposure::Exposure;
pub use judge::Evidence;
pub use judge::Judge;
pub use order::Order;
pub use order::Phase;
pub use order::Step;
pub use plans::Plans;
pub use policy::Policy;
pub use trial::Bounds;
pub use trial::Conditions;
pub use trial::Trial;
pub use trials::Trials;
pub use version::InvalidVersion;
pub use version::Version;

//! Roll-outs: a service's traffic moves to backend servers of another version, or back.
//!
//! What operators ordered and what came of it is agreed in the log ([`Plans`]); what gateways may send to by
//! their own choice follows from it ([`Policy`]). The hub tries the version that was ordered on a bounded part
//! of the requests ([`Exposure`]), compares its answers with those of the version beside it ([`Judge`]), and
//! moves the service over, or back ([`Trial`]).

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

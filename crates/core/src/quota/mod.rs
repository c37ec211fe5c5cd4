//! Customers' quotas over all gateways together.
//!
//! The hub charges each request ([`Limiter`]). Each gateway has a limiter of its own ([`LocalLimiter`]) for the time in
//! which the hub does not answer.

mod bucket;
mod charge;
mod convert;
mod limiter;
mod local;
mod share;
mod tolerance;

pub use bucket::Bucket;
pub use charge::Charge;
pub use convert::to_f64;
pub use limiter::Limiter;
pub use local::LOCAL_QUOTA_DELAY;
pub use local::LocalLimiter;
pub use local::SHARE_LIFETIME;
pub use local::SHARE_RESERVE_DELAY;
pub use share::Share;
pub use tolerance::Tolerance;

//! Allowances over all gateways together: a desk at the hub that draws each request, and reserves at the
//! gateways for when the hub gives no word.

mod amount;
mod bucket;
mod charge;
mod limiter;
mod local;
mod share;
mod tolerance;

pub use amount::amount;
pub use bucket::Bucket;
pub use charge::Charge;
pub use limiter::Limiter;
pub use local::LOCAL_QUOTA_DELAY;
pub use local::LocalLimiter;
pub use local::SHARE_LIFETIME;
pub use local::SHARE_RESERVE_DELAY;
pub use share::Share;
pub use tolerance::Tolerance;

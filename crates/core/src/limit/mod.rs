//! Rate limits of backend servers: how many requests per second a server accepts from all hosts together, because it
//! announces a limit or because its caches are cold.
//!
//! The limit applies to all gateways together, so it is enforced in one place, at the hub ([`RateLimiter`]), which
//! takes a token from the server's bucket before it grants a slot. Gateways report what responses announce
//! ([`LocalReports`]) until the hub acknowledges it, and send nothing to a limited server without a granted slot.
//!
//! Responses reach the hub in any order. A report is newer than what the hub knows if its request was sent under a
//! grant that the hub gave after it had received the previous report ([`Table`]).

mod announcement;
mod limiter;
mod local;
mod rate;
mod report;
mod table;
mod warmup;

pub use announcement::Announcement;
pub use limiter::RateLimiter;
pub use local::LocalReports;
pub use rate::InvalidRate;
pub use rate::Rate;
pub use report::Key;
pub use report::Report;
pub use report::Reports;
pub use table::Change;
pub use table::Limit;
pub use table::Table;
pub use table::Update;
pub use warmup::Slack;
pub use warmup::Warmup;

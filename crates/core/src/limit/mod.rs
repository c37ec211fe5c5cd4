//! Limits of backend servers: how many requests a second they take from all hosts together, by their own word or while
//! they are cold.
//!
//! The bound is over all gateways, so it is kept in one account, at the hub ([`RateLimiter`]): whoever gives a place at
//! such a server draws it there first. Gateways tell the hub what answers say ([`LocalReports`]) until it has heard that, and
//! send nothing there without a place that was drawn. Which of two words is the newer one goes by the hub's grants:
//! an answer to what was granted after a word had been heard is newer than that word ([`Table`]).

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

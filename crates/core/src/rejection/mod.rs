//! Bounds the rejections of servers that fail when they reject too many requests.
//!
//! Load pattern: the servers of an overloaded service announce how many requests a second each may reject. One that rejects
//! more fails, and its load moves to the others, which fail in turn. Requests that queue at the hub harm nobody, so the hub
//! sends such a server only what it could reject as a whole: the requests that it has not begun, plus those that it has
//! rejected within the last second, stay within the announced number, over all hosts.
//!
//! Each gateway reports these counts as they are ([`Tracker`]), beside what it has in flight. So lost reports do no harm,
//! and a new hub knows the counts once all gateways have polled ([`Totals`]).

mod limit;
mod report;
mod totals;
mod tracker;

pub use limit::Limit;
pub use report::Report;
pub use totals::Totals;
pub use tracker::Tracker;

//! Requests under which backend servers end: known by what they are, and kept away from the servers.
//!
//! A request that ends each server that begins to run it comes again, at any gateway and under another name.
//! What ended under it is therefore added up over all gateways, by what the request is ([`Identity`]): at the
//! hub ([`Tracker`]), from what the gateways tell ([`Evidence`]); from the second end on in the log as well
//! ([`List`]), and by it at every gateway ([`LocalTracker`]), for the time without a hub.

mod evidence;
mod identity;
mod list;
mod local;
mod tracker;

pub use evidence::Effect;
pub use evidence::Evidence;
pub use evidence::Observation;
pub use identity::Identity;
pub use list::Case;
pub use list::List;
pub use list::Step;
pub use list::Update;
pub use local::LocalTracker;
pub use tracker::Decision;
pub use tracker::Permit;
pub use tracker::Rejection;
pub use tracker::Tracker;

/// How many servers may end under a request before it is kept away from all.
///
/// A server that ends takes all down that it runs. Of 152 other requests beside 30 servers that two such
/// requests ended, one was beside two of them and none beside three.
pub const CRASHES_TO_QUARANTINE: usize = 3;

/// How many servers must have ended under a request for it to be agreed on: what has only been beside one
/// end needs no entry in the log, and that is six requests of seven.
const CRASHES_TO_COMMIT: usize = CRASHES_TO_QUARANTINE - 1;

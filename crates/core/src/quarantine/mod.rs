//! Quarantine of requests, and of parts of prompts, under which backend servers crash.
//!
//! A request that crashes each server that starts to run it is retried, at any gateway and as a new request. Crashes
//! are therefore counted over all gateways by what the request is ([`Identity`]). The hub counts them
//! ([`Tracker`]) from the gateways' reports ([`Evidence`]). From the second crash on they are also committed to the log
//! ([`List`]), those under parts of prompts from the first on, and from there every gateway knows them
//! ([`LocalTracker`]) while it is without a hub.
//!
//! A part of a prompt that crashes servers comes in requests that are all different, beside sound ones that share the
//! rest. It is tracked by the same types: a crash is charged to each part of the requests that had just begun to be
//! answered, and a request that begins later and is answered clears its parts.

mod account;
mod accounts;
mod answers;
mod evidence;
mod features;
mod identity;
mod list;
mod local;
mod part;
mod silence;
mod software;
mod tracker;

pub use account::CRASHES_TO_QUARANTINE_PART;
pub use account::FIRST_TRIAL_DELAY;
pub use account::MAX_TRIALS;
pub use evidence::Effect;
pub use evidence::Evidence;
pub use evidence::Observation;
pub use evidence::PROBATION;
pub use features::Features;
pub use identity::Identity;
pub use list::Case;
pub use list::List;
pub use list::PartCase;
pub use list::Step;
pub use list::Update;
pub use local::Attempt;
pub use local::LocalTracker;
pub use part::MAX_PARTS;
pub use part::Part;
pub use software::Software;
pub use tracker::Decision;
pub use tracker::Permit;
pub use tracker::Rejection;
pub use tracker::Tracker;

/// How many servers may crash under a request before it is quarantined.
///
/// A server that crashes takes all requests down that it runs. Of 152 other requests on 30 servers that two such
/// requests crashed, one was running on two of them and none on three.
pub const CRASHES_TO_QUARANTINE: usize = 3;

/// How many servers must have crashed under a request before it is committed to the log. Requests that ran on only one
/// crashed server, six of seven, need no log entry.
const CRASHES_TO_COMMIT: usize = CRASHES_TO_QUARANTINE - 1;

/// How many servers must have crashed under requests with a part before it is committed to the log. A hub that is lost
/// together with the gateway that saw a crash takes along what is not.
const CRASHES_TO_COMMIT_PART: usize = 1;

/// How many servers must have crashed under requests with a part before a gateway sends none without the hub.
const CRASHES_TO_WITHHOLD_PART: usize = 2;

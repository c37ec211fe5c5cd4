//! The outcome of a simulated roll-out.

use curlewlift_core::rollout::Phase;

/// The outcome of a simulated roll-out.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// The phase at the end.
    pub phase: Option<Phase>,
    /// When that phase was committed, in milliseconds after the order.
    pub ended_ms: u64,
    /// Requests that reached a server between the order and its time limit.
    pub requests: u64,
    /// Those of them that reached the new version during the trial.
    pub new_version_requests: u64,
    /// The maximum number of requests by which the new version exceeded its bound.
    pub max_over_bound: f64,
    /// Failed or slow responses caused by the fault of the new version.
    pub faulty_responses: u64,
    /// The time from the fiftieth of them to the last request sent to the new version, in milliseconds.
    pub ms_after_fiftieth: u64,
    /// Requests that were running on the old version when the roll-out completed.
    pub cut_off: u64,
    /// Requests for which no server was found.
    pub refused: u64,
}

//! What a roll-out came to.

use curlewlift_core::rollout::Phase;

/// What a roll-out came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// The phase at the end.
    pub phase: Option<Phase>,
    /// When that was agreed, in milliseconds after the order.
    pub ended_ms: u64,
    /// Requests that reached the service since the order until its time limit.
    pub reached: u64,
    /// Those of them that reached the new version before all were to go there.
    pub exposed: u64,
    /// By how many requests, at the worst moment, the new version was over its bound.
    pub over: f64,
    /// Bad answers of the new version.
    pub bad: u64,
    /// From the fiftieth of them to the last request that was sent there, in milliseconds.
    pub after_fiftieth: u64,
    /// Requests that ran at the former version when the roll-out was completed.
    pub cut: u64,
    /// Requests that no server was found for.
    pub refused: u64,
}

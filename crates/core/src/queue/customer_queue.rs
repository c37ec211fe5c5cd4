//! One customer's waiting requests in one tier.

use std::collections::BTreeMap;

use crate::clock::Instant;
use crate::unit::Tokens;

use super::Request;

/// The order within a queue: the earliest deadline first, then the earliest arrival.
pub(super) type OrderKey = (Instant, u64);

/// An ask that waits.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    pub(super) ask: Request,
    pub(super) expect: Tokens,
}

impl WaitingRequest {
    /// What it costs, for the shares.
    pub(super) fn cost(&self) -> Tokens {
        self.ask.prompt + self.expect
    }
}

/// One customer's waiting requests in one tier, and what it has had.
#[derive(Clone, Debug, Default)]
pub(super) struct CustomerQueue {
    /// Tokens that it has had over its weight, in millionths, on the tier's scale.
    pub(super) virtual_time: u64,
    pub(super) requests: BTreeMap<OrderKey, WaitingRequest>,
    pub(super) work: Tokens,
}

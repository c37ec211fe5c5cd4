//! One customer's waiting requests in one tier.

use std::collections::BTreeMap;

use crate::clock::Instant;
use crate::unit::Tokens;

use super::Request;

/// A place in a line: the earliest deadline first, then the earliest arrival.
pub(super) type Place = (Instant, u64);

/// An ask that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) ask: Request,
    pub(super) expect: Tokens,
}

impl Waiting {
    /// What it costs, for the shares.
    pub(super) fn cost(&self) -> Tokens {
        self.ask.prompt + self.expect
    }
}

/// One customer's waiting requests in one tier, and what it has had.
#[derive(Clone, Debug, Default)]
pub(super) struct Line {
    /// Tokens that it has had over its weight, in millionths, on the tier's scale.
    pub(super) virtual_time: u64,
    pub(super) asks: BTreeMap<Place, Waiting>,
    pub(super) work: Tokens,
}

//! The queued requests of one customer in one tier.

use std::collections::BTreeMap;

use crate::clock::Instant;
use crate::unit::Tokens;

use super::Request;

/// Orders the requests of a customer: by deadline, then by arrival number.
pub(super) type OrderKey = (Instant, u64);

/// A queued request.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    pub(super) request: Request,
    /// The number of tokens that its response is expected to have.
    pub(super) expected_output: Tokens,
}

impl WaitingRequest {
    /// The cost that is charged to the customer's fair share: prompt and expected response, in
    /// tokens.
    pub(super) fn cost(&self) -> Tokens {
        self.request.prompt + self.expected_output
    }
}

/// The queued requests of one customer in one tier, and the service that the customer has received.
#[derive(Clone, Debug, Default)]
pub(super) struct CustomerQueue {
    /// The tokens granted to the customer divided by its weight, in the tier's virtual time.
    pub(super) virtual_time: u64,
    pub(super) requests: BTreeMap<OrderKey, WaitingRequest>,
    /// The cost of all queued requests.
    pub(super) work: Tokens,
}

//! The cost of a request.

use serde::Deserialize;
use serde::Serialize;

use crate::id;

/// What a request costs of its customer's quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charge {
    /// The customer.
    pub customer: id::Customer,
    /// The cost in the quota's unit.
    pub cost: u64,
}

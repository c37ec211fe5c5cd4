//! What a request counts.

use serde::Deserialize;
use serde::Serialize;

use crate::id;

/// What a request counts towards its customer's allowance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charge {
    /// The customer.
    pub customer: id::Customer,
    /// In the allowance's unit.
    pub cost: u64,
}

//! The priority of a request.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::CustomerPolicy;
use super::Rule;

/// The priority of a request: its customer's rank, and among customers of the same rank its rule's
/// rank. 0 is the highest.
///
/// With the customer's rank alone, requests of customers of one rank would have no order: those
/// that have waited for the shortest time would be rejected first, however urgent they are.
///
/// # Examples
///
/// ```
/// use curlewlift_core::route::Rank;
/// let chat = Rank { customer: 1, rule: 0 };
/// let batch = Rank { customer: 1, rule: 2 };
/// assert!(chat < batch);
/// assert!(batch < Rank { customer: 2, rule: 0 });
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rank {
    /// The customer's rank.
    pub customer: u8,
    /// The rule's rank.
    pub rule: u8,
}

impl Rank {
    /// The rank of a request that matches `rule`. A customer without a rank of its own gets the rule's.
    #[must_use]
    pub fn new(rule: &Rule, customer: Option<&CustomerPolicy>) -> Self {
        let customer_rank = customer.and_then(|customer| customer.rank);
        Self {
            customer: customer_rank.unwrap_or(rule.rank),
            rule: rule.rank,
        }
    }
}

/// The rank of requests whose customers have no rank of their own.
impl From<u8> for Rank {
    fn from(rank: u8) -> Self {
        Self {
            customer: rank,
            rule: rank,
        }
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.customer, self.rule)
    }
}

//! How urgent a request is.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::CustomerPolicy;
use super::Rule;

/// How urgent a request is: its customer's rank first, and among customers of the same rank its
/// rule's; 0 is the highest.
///
/// With the customer's rank alone, customers of one rank would have no order among their kinds of
/// requests: whoever waits the least time would be turned away first, however urgent.
///
/// # Examples
///
/// ```
/// use curlewlift_core::route::Rank;
/// let letter = Rank { customer: 1, rule: 0 };
/// let summary = Rank { customer: 1, rule: 2 };
/// assert!(letter < summary);
/// assert!(summary < Rank { customer: 2, rule: 0 });
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rank {
    /// The customer's.
    pub customer: u8,
    /// The rule's.
    pub rule: u8,
}

impl Rank {
    /// The rank of a request that `rule` takes; a customer that has none of its own counts by the
    /// rule's.
    #[must_use]
    pub fn new(rule: &Rule, account: Option<&CustomerPolicy>) -> Self {
        let customer = account.and_then(|account| account.rank);
        Self {
            customer: customer.unwrap_or(rule.rank),
            rule: rule.rank,
        }
    }
}

/// The rank of requests whose customers have none.
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

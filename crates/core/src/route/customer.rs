//! Customers in a routing table: their keys, priority and quota.

use crate::id;

use super::Homes;

/// The unit in which a customer's quota is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Every request counts as one.
    Requests,
    /// A request counts as its input and output tokens, or as this many if it does not state them.
    Tokens(u64),
}

/// How much a customer may request, over all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// The unit in which it is counted.
    pub unit: Unit,
    /// The rate in units per second; 0 means no limit.
    pub rate: f64,
    /// How many units may be used at once on top of the rate.
    pub burst: f64,
}

impl Quota {
    /// How many units a request with `tokens` (input and output together, if stated) counts as.
    #[must_use]
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens(default) => tokens.unwrap_or(default),
        }
    }

    /// Whether there is a limit.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.rate > 0.0
    }
}

/// A customer's keys, priority and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerPolicy {
    /// Its name.
    pub name: id::Customer,
    /// The keys that identify its requests.
    pub keys: Vec<String>,
    /// The rank of its requests, which takes precedence over their rules' ranks.
    pub rank: Option<u8>,
    /// How much it may request.
    pub quota: Quota,
    /// The regions that its requests must stay in.
    pub homes: Homes,
}

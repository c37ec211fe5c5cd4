//! Customers as a routing table has them.

use crate::id;

use super::Homes;

/// In what a customer's allowance is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Every request counts one.
    Requests,
    /// A request counts its tokens in and out; one that names none counts this many.
    Tokens(u64),
}

/// How much a customer may ask for, over all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// In what it is counted.
    pub unit: Unit,
    /// A second; 0 is no limit.
    pub rate: f64,
    /// On top, at once.
    pub burst: f64,
}

impl Quota {
    /// What a request with `tokens` (in and out together, where it names them) counts.
    #[must_use]
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens(plain) => tokens.unwrap_or(plain),
        }
    }

    /// Whether there is a limit at all.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.rate > 0.0
    }
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerPolicy {
    /// Its name.
    pub name: id::Customer,
    /// The keys by which its requests are known.
    pub keys: Vec<String>,
    /// The rank of its requests, which is compared before their rules'.
    pub rank: Option<u8>,
    /// How much it may ask for.
    pub quota: Quota,
    /// The regions that its requests must stay in.
    pub homes: Homes,
}

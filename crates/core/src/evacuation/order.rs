//! Operators' orders to start or end an evacuation.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// What an order does to a data hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Starts the evacuation: the hall's backend servers get no new work.
    Start,
    /// Ends the evacuation: they get work again.
    End,
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Start => "start",
            Self::End => "end",
        })
    }
}

/// An operator's order. Giving the same order again changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The data hall.
    pub hall: Arc<str>,
    /// Whether its evacuation starts or ends.
    pub action: Action,
    /// When the leader received the order, in milliseconds of Unix time; only shown to operators.
    pub given_ms: u64,
}

//! What operators order.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// What is to become of a data hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Its backend servers get no new work.
    Start,
    /// They get work again.
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

/// An operator's order; given again it changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The data hall.
    pub hall: Arc<str>,
    /// What is to become of it.
    pub action: Action,
    /// When the leader took the order, in milliseconds of Unix time; only told to operators.
    pub given_ms: u64,
}

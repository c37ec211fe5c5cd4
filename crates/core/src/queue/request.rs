//! What an entry asks of the owner, and what it reports.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;
use crate::fleet::Prefix;
use crate::id;
use crate::unit::Tokens;

/// Identifies a queued request: the entry that asked, and its number for the request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The entry.
    pub host: id::Host,
    /// Its number.
    pub number: id::Ticket,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.host, self.number)
    }
}

/// A request that wants a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Who asks.
    pub ticket: Ticket,
    /// The customer.
    pub customer: id::Customer,
    /// The customer's share.
    pub weight: u32,
    /// How many requests of the customer may wait.
    pub max_waiting: u32,
    /// The tier's rank, 0 the highest.
    pub rank: u8,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// The most tokens that the answer may have.
    pub max_output: Tokens,
    /// Beginnings of the prompt, the longest first.
    pub prefixes: Vec<Prefix>,
    /// How often it was sent and surely not run before.
    pub attempt: u8,
    /// When its first token must come, by the owner's clock.
    pub first_token_deadline: Instant,
    /// When its answer must be whole, by the owner's clock.
    pub deadline: Instant,
}

/// What an entry reports of a request that was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// Its first token came.
    FirstToken,
    /// So many tokens have come in all.
    Tokens(Tokens),
    /// It has ended: tokens in all, and what the server said was cached of the prompt.
    Ended {
        /// Tokens of the answer.
        output: Tokens,
        /// Prompt tokens that the server had cached, if it said so.
        cached: Option<Tokens>,
    },
}

//! The requests that entries submit to the owner of a queue, and the reports they send on them.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;
use crate::fleet::Prefix;
use crate::id;
use crate::unit::Tokens;

/// Identifies a request in the queue by the entry that submitted it and a number chosen by that
/// entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The host of the entry.
    pub host: id::Host,
    /// The entry's number for the request.
    pub number: id::Ticket,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.host, self.number)
    }
}

/// A request for a slot on a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifies the request.
    pub ticket: Ticket,
    /// The customer that the request is charged to.
    pub customer: id::Customer,
    /// The customer's weight in the fair shares of its tier.
    pub weight: u32,
    /// The maximum number of requests that the customer may have queued.
    pub max_waiting: u32,
    /// The rank of the tier; 0 is the highest.
    pub rank: u8,
    /// The number of tokens in the prompt.
    pub prompt: Tokens,
    /// The maximum number of tokens in the response.
    pub max_output: Tokens,
    /// Prefixes of the prompt, longest first.
    pub prefixes: Vec<Prefix>,
    /// The number of earlier attempts that are known not to have run.
    pub attempt: u8,
    /// The time by which the first token must arrive, on the owner's clock.
    pub first_token_deadline: Instant,
    /// The time by which the response must be complete, on the owner's clock.
    pub deadline: Instant,
}

/// Progress that an entry reports on a request that was granted a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// The first token has arrived.
    FirstToken,
    /// The total number of tokens received so far.
    Tokens(Tokens),
    /// The attempt has ended.
    Ended {
        /// The number of tokens in the response.
        output: Tokens,
        /// The number of prompt tokens that the server had cached, if it reported it.
        cached: Option<Tokens>,
    },
}

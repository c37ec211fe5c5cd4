//! The request to pick a server for, and the server picked.

use std::time::Duration;

use crate::id;
use crate::unit::Tokens;

use super::Prefix;

/// The properties of a request that the choice of a server depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// Number of tokens of its prompt.
    pub prompt: Tokens,
    /// Expected number of tokens of its response.
    pub output: Tokens,
    /// Prefixes of its prompt, the longest first.
    pub prefixes: Vec<Prefix>,
}

/// The picked server, with the expected time of the response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Index of the server in the fleet.
    pub server_index: usize,
    /// Name of the server.
    pub name: id::Server,
    /// Number of prompt tokens that are expected to be cached there.
    pub cached: Tokens,
    /// Expected time of the response.
    pub estimate: TimeEstimate,
}

/// Expected time of a response, counted from when the request is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TimeEstimate {
    /// Time to the first token.
    pub first_token: Duration,
    /// Time to the end of the response.
    pub total: Duration,
}

//! What is to be placed, and where it was placed.

use std::time::Duration;

use crate::id;
use crate::unit::Tokens;

use super::Prefix;

/// A request as the choice of a server sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// Tokens of its prompt.
    pub prompt: Tokens,
    /// Tokens of its answer, expected.
    pub output: Tokens,
    /// Beginnings of its prompt, the longest first.
    pub prefixes: Vec<Prefix>,
}

/// A server and what to expect of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Its place in the fleet.
    pub server_index: usize,
    /// Its name.
    pub name: id::Server,
    /// Prompt tokens believed to be cached there.
    pub cached: Tokens,
    /// How long it should take.
    pub estimate: TimeEstimate,
}

/// How long an answer should take from the moment of sending.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TimeEstimate {
    /// To the first token.
    pub first_token: Duration,
    /// To the end.
    pub total: Duration,
}

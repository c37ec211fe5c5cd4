//! What a server's response says about its rate limit.

use super::Rate;

/// What one response says about the rate limit of the server that sent it.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Announcement {
    /// The server announces no limit.
    #[default]
    NoLimit,
    /// The server accepts this many requests per second from all hosts together.
    Limited(Rate),
    /// The server announces a limit that cannot be parsed; holds the text.
    Invalid(String),
}

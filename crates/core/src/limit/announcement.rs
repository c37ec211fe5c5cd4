//! What one answer says of its server's limit.

use super::Rate;

/// What one answer says of the limit of the server that gave it.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Announcement {
    /// It names none.
    #[default]
    NoLimit,
    /// It takes so many requests a second, from all hosts together.
    Limited(Rate),
    /// It names a limit that cannot be read.
    Invalid(String),
}

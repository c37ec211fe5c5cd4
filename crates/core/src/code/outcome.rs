//! Whether a request ran.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// What is known of a request's fate.
///
/// A caller must handle all three: there is no default.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// A backend server ran it, and its answer is whole.
    Run,
    /// No byte of it reached a backend server, or the server said that it refused before running.
    NotRun,
    /// A byte of it went out and no whole answer came back.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Run => "run",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

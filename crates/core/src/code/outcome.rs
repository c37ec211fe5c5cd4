//! Whether a request ran.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether a request ran, as far as that is known.
///
/// Callers must handle all three cases; there is no default.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// A backend server ran it, and the response is complete.
    Run,
    /// No byte of it reached a backend server, or the server reported that it refused the request
    /// before running it.
    NotRun,
    /// At least one byte of it was sent, and no complete response came back.
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

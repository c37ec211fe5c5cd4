//! What may be repeated.

use std::fmt;

/// What kind of requests a rule takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Safe,
    /// May run once.
    Unsafe,
    /// Runs once and is answered by a stream of events.
    Streaming,
    /// Answered by a stream that another backend server may take up where it broke.
    Resumable,
}

impl Kind {
    /// Whether a request of this kind may be sent again although it may have run.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Streaming | Self::Resumable)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Streaming => "streaming",
            Self::Resumable => "resumable",
        })
    }
}

//! Whether requests may run more than once, and how they are answered.

use std::fmt;

/// The kind of requests that a rule matches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Safe,
    /// May run only once.
    Unsafe,
    /// May run only once, and is answered by a stream of events.
    Streaming,
    /// Answered by a stream that another backend server can resume if it is interrupted.
    Resumable,
}

impl Kind {
    /// Whether a request of this kind may be retried although it may already have run.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }

    /// Whether the response is a stream of events.
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

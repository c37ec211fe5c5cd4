//! A request that waits for a backend server, its assignment to one, and the outcome of an attempt.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;
use crate::gateway::Server;
use crate::id;
use crate::rollout::Version;
use crate::route::Rank;
use crate::unit::Tokens;

/// Identifies a request that is queued or runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that needs a backend server.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The routing rule that it matched, if known.
    pub rule: Option<Arc<str>>,
    /// The customer that it belongs to, if it has one.
    pub customer: Option<id::Customer>,
    /// Its priority.
    pub rank: Rank,
    /// When it first arrived; a retried request keeps this time, and with it its queue position.
    pub arrived: Instant,
    /// The latest time to send it so that its response begins within the latency objective.
    pub send_by: Instant,
    /// The end of its latency objective: the latest time at which its response should begin.
    pub begin_by: Instant,
    /// The longest time between two events of its stream for which the stream is in time.
    pub max_gap: Option<Duration>,
    /// The latest time until which it stays queued.
    pub wait_until: Instant,
    /// The length of its prompt; 0 if it has none.
    pub prompt: Tokens,
    /// The number of tokens that it is likely to generate; 0 if that is not known.
    pub output: Tokens,
    /// The data hall that it is sent from.
    pub hall: Arc<str>,
    /// Incarnations that it was already sent to.
    pub tried: Vec<Arc<str>>,
    /// Further incarnations that it must not be sent to before the given time.
    pub avoid: Vec<(Arc<str>, Instant)>,
    /// Incarnations that asked its host to send no requests before the given time.
    pub backoffs: Vec<(Arc<str>, Instant)>,
    /// The data halls that it must stay in; `None` if it may go to any.
    pub allowed_halls: Option<Arc<[Arc<str>]>>,
    /// The versions of the servers that it may go to; `None` if it may go to any.
    pub allowed_versions: Option<Arc<[Version]>>,
}

impl Request {
    /// Whether it may be sent to `server` at `now`.
    pub(super) fn may_go_to(&self, server: &Server, now: Instant) -> bool {
        let incarnation = &server.incarnation;
        let excludes = |(other, until): &(Arc<str>, Instant)| other == incarnation && now < *until;
        let is_excluded = self.avoid.iter().any(excludes) || self.backoffs.iter().any(excludes);
        !is_excluded && self.allows(server) && !self.tried.contains(incarnation)
    }

    /// Whether `server` is in a data hall, and runs a version, that it may go to.
    fn allows(&self, server: &Server) -> bool {
        self.allows_hall_of(server) && self.allows_version(&server.version)
    }

    /// Whether `server` is in a data hall that it may go to.
    fn allows_hall_of(&self, server: &Server) -> bool {
        let halls = self.allowed_halls.as_ref();
        halls.is_none_or(|halls| halls.contains(&server.hall))
    }

    /// Whether it may go to servers of `version`.
    pub(super) fn allows_version(&self, version: &Version) -> bool {
        let versions = self.allowed_versions.as_ref();
        versions.is_none_or(|versions| versions.contains(version))
    }

    /// The same request with further backoffs that servers asked its host for.
    pub(super) fn with_backoffs(&self, backoffs: &[(Arc<str>, Instant)]) -> Cow<'_, Self> {
        let mut request = Cow::Borrowed(self);
        if !backoffs.is_empty() {
            request.to_mut().backoffs.extend_from_slice(backoffs);
        }
        request
    }

    /// Whether it may not be sent to some servers that other requests may be sent to.
    pub(super) fn is_restricted(&self) -> bool {
        !(self.tried.is_empty() && self.avoid.is_empty()) || self.has_conditions()
    }

    /// Whether backoffs, allowed data halls or allowed versions exclude some servers.
    pub(super) fn has_conditions(&self) -> bool {
        !self.backoffs.is_empty() || self.allowed_halls.is_some() || self.allowed_versions.is_some()
    }

    /// Whether it cannot be sent to `server` for as long as it stays queued: it was already sent there, the server
    /// backs off for longer, is outside its allowed data halls, or runs another version than those allowed.
    pub(super) fn never_goes_to(&self, server: &Server) -> bool {
        let incarnation = &server.incarnation;
        let mut backoffs = self.backoffs.iter();
        let is_backing_off =
            backoffs.any(|(other, until)| other == incarnation && self.wait_until <= *until);
        is_backing_off || !self.allows(server) || self.tried.contains(incarnation)
    }
}

/// The assignment of a queued request to a backend server.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The request.
    pub ticket: Ticket,
    /// The server to send it to.
    pub server: Arc<Server>,
    /// The length of its prompt.
    pub prompt: Tokens,
    /// Whether the request was charged to a rate limit that the server announced.
    pub charged_to_limit: bool,
}

/// When the events of a stream arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamTimes {
    /// From sending the request to the head of the response.
    pub first_byte: Duration,
    /// From sending the request to the first event.
    pub first_event: Duration,
    /// The mean time between two events, if there were several.
    pub gap: Option<Duration>,
    /// The longest time between two events.
    pub longest_gap: Duration,
    /// The number of events.
    pub events: u32,
}

/// The outcome of an attempt, as far as it tells something about the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The server answered.
    Answered {
        /// From sending the request to the first byte of the response.
        first_byte: Duration,
        /// The mean time between two chunks of a stream, if there were several.
        gap: Option<Duration>,
    },
    /// The server answered with a stream whose events were timed.
    Streamed(StreamTimes),
    /// The first event of a stream has arrived; the attempt goes on.
    Began {
        /// From sending the request to the first event.
        first_event: Duration,
    },
    /// The server answered that it has no room.
    Full,
    /// The server rejected the request and asked for none from this gateway's host for the given time.
    Backoff(Duration),
    /// The server answered with an error.
    Failed,
    /// The server could not be reached, closed the connection early, or answered with an invalid response.
    Broken,
    /// This gateway's host could not reach the server. Other hosts may reach it.
    Unreachable,
    /// The server sent nothing for longer than its load can explain.
    TimedOut,
    /// The address belongs to another incarnation by now, or the server is draining.
    Gone,
    /// The caller disconnected, so that nothing is known about the server.
    Unknown,
}

impl AttemptOutcome {
    /// If the server answered, the time to the first byte, and the mean time between two chunks of a stream.
    pub(crate) fn answer_times(self) -> Option<(Duration, Option<Duration>)> {
        match self {
            Self::Answered { first_byte, gap } => Some((first_byte, gap)),
            Self::Streamed(times) => Some((times.first_byte, times.gap)),
            _ => None,
        }
    }

    /// Whether the server broke off, could not be reached, or was silent.
    pub(crate) fn is_break(self) -> bool {
        matches!(self, Self::Broken | Self::TimedOut)
    }

    /// Whether the attempt is over.
    pub(crate) fn is_end(self) -> bool {
        !matches!(self, Self::Began { .. })
    }
}

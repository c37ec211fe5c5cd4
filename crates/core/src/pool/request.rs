//! What is asked of a pool, and what it answers.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;
use crate::gateway::Server;
use crate::route::Rank;
use crate::unit::Tokens;

/// The number of a request that waits or runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that wants a backend server.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The rule that it came under, where that is of use.
    pub rule: Option<Arc<str>>,
    /// How urgent it is.
    pub rank: Rank,
    /// When it arrived: one that comes back from a server keeps its place.
    pub arrived: Instant,
    /// Until when it must be sent for its answer to begin in time.
    pub send_by: Instant,
    /// Until when it waits.
    pub wait_until: Instant,
    /// The length of its prompt; 0 where it has none.
    pub prompt: Tokens,
    /// The data hall that it is sent from.
    pub hall: Arc<str>,
    /// Incarnations that it was sent to before.
    pub tried: Vec<Arc<str>>,
    /// Others that it must not be sent to before then.
    pub avoid: Vec<(Arc<str>, Instant)>,
    /// Those that want no requests from its host before then, by their own word.
    pub backoffs: Vec<(Arc<str>, Instant)>,
    /// The data halls that it must stay in; none where it may go anywhere.
    pub allowed_halls: Option<Arc<[Arc<str>]>>,
}

impl Request {
    /// Whether it may be sent to `server` at `now`.
    pub(super) fn may_go_to(&self, server: &Server, now: Instant) -> bool {
        let incarnation = &server.incarnation;
        let closes = |(other, until): &(Arc<str>, Instant)| other == incarnation && now < *until;
        let is_closed = self.avoid.iter().any(closes) || self.backoffs.iter().any(closes);
        !is_closed && self.is_home(server) && !self.tried.contains(incarnation)
    }

    /// Whether `server` is in a data hall that it may go to.
    fn is_home(&self, server: &Server) -> bool {
        let halls = self.allowed_halls.as_ref();
        halls.is_none_or(|halls| halls.contains(&server.hall))
    }

    /// The same with what servers have asked its host since.
    pub(super) fn with_rests(&self, rests: &[(Arc<str>, Instant)]) -> Cow<'_, Self> {
        let mut ask = Cow::Borrowed(self);
        if !rests.is_empty() {
            ask.to_mut().backoffs.extend_from_slice(rests);
        }
        ask
    }

    /// Whether some servers are closed to it that are open to others.
    pub(super) fn is_bound(&self) -> bool {
        !(self.tried.is_empty() && self.avoid.is_empty()) || self.is_kept_from()
    }

    /// Whether some servers stay closed to it for as long as it waits, or for a time that they asked for.
    pub(super) fn is_kept_from(&self) -> bool {
        !self.backoffs.is_empty() || self.allowed_halls.is_some()
    }

    /// Whether it will not be sent to `server` for as long as it waits: it was already, the server rests, or is not in
    /// one of its halls.
    pub(super) fn waits_in_vain(&self, server: &Server) -> bool {
        let incarnation = &server.incarnation;
        let mut rests = self.backoffs.iter();
        let rests = rests.any(|(other, until)| other == incarnation && self.wait_until <= *until);
        rests || !self.is_home(server) || self.tried.contains(incarnation)
    }
}

/// A request's turn.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// Whose it is.
    pub ticket: Ticket,
    /// Where to send it.
    pub server: Arc<Server>,
    /// The length of its prompt.
    pub prompt: Tokens,
    /// Whether it was drawn from a limit that the server has named.
    pub charged_to_limit: bool,
}

/// How a sending ended, as far as it says something of the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// Answered; with the time to the first byte, and between the pieces of a stream.
    Answered {
        /// From the sending to the first byte of the answer.
        first_byte: Duration,
        /// The mean time between two pieces, where there were several.
        gap: Option<Duration>,
    },
    /// It said that it has no room.
    Full,
    /// It turned a request away, and wants none from that gateway's host for so long.
    Backoff(Duration),
    /// It answered that it failed.
    Failed,
    /// It could not be reached, broke off, or answered with bytes that are no answer.
    Broken,
    /// It has said nothing for longer than could be explained by its load.
    TimedOut,
    /// Another incarnation has the address, or it is leaving.
    Gone,
    /// The caller went away; nothing is said of the server.
    Unknown,
}

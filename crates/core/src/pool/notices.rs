//! What backend servers announce about themselves in their responses to this host: that they want no requests for a
//! time, or that they are draining.
//!
//! Load pattern: servers at their limit reject requests and ask for a backoff, several at once and each host
//! separately, while server lists are replaced, hubs change, and servers drop out of a pool between two requests.
//! Notices are therefore stored by incarnation, apart from the entries of the server list. Stored in those entries,
//! they were lost with the next list, and a server that had announced that it drains got requests again 3 s later.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::gateway::Server;

/// The longest backoff that a single notice may cause. By then an operator has attended to a server that is really
/// unavailable, and a server that asked for too long by mistake is missing for no longer.
const MAX_BACKOFF: Duration = Duration::from_mins(10);

/// How long the server list may take to name a new incarnation of a server: a notice that arrived in this time under
/// the name of the previous incarnation may have come from the new one. It covers the lag of the platform's list and
/// four fetches of a host that cannot reach the hub.
const MAX_LIST_LAG: Duration = Duration::from_secs(5);

/// How many servers are remembered at most, some 100 bytes each: one and a half times as many as drain in a day of
/// the largest deployment.
const MAX_SERVERS: usize = 1_024;

/// What a server announces about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// It wants no requests from this host for the given time.
    Backoff(Duration),
    /// It is going to stop.
    Draining,
    /// It asked for a backoff whose time cannot be parsed; it has no effect.
    Unreadable(String),
}

/// What one incarnation has announced.
#[derive(Clone, Debug)]
struct Announced {
    /// The server's name, which all its incarnations share.
    name: Arc<str>,
    /// Until when it wants no requests.
    backoff_until: Instant,
    is_draining: bool,
    /// Whether it gave a time that cannot be parsed.
    is_unreadable: bool,
    /// When its last notice arrived.
    updated: Instant,
}

impl Announced {
    fn new(name: &Arc<str>, updated: Instant) -> Self {
        Self {
            name: Arc::clone(name),
            backoff_until: updated,
            is_draining: false,
            is_unreadable: false,
            updated,
        }
    }
}

/// What backend servers have announced about themselves to this host.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use curlewlift_core::clock::Instant;
/// use curlewlift_core::pool::Notice;
/// use curlewlift_core::pool::Notices;
/// let now = Instant::default();
/// let mut notices = Notices::default();
/// let backoff = Notice::Backoff(Duration::from_secs(3));
/// notices.record(&"i-1".into(), &"i-1".into(), backoff, now);
/// assert!(notices.excludes("i-1", now));
/// assert!(!notices.excludes("i-1", now + Duration::from_secs(3)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Notices {
    by_incarnation: HashMap<Arc<str>, Announced>,
}

impl Notices {
    /// Records a notice of an incarnation of the server `name`. Returns what is new about it: of a backoff, by how
    /// much it is extended.
    pub fn record(
        &mut self,
        incarnation: &Arc<str>,
        name: &Arc<str>,
        notice: Notice,
        now: Instant,
    ) -> Option<Notice> {
        if self.by_incarnation.len() >= MAX_SERVERS
            && !self.by_incarnation.contains_key(incarnation)
        {
            self.make_room(now);
        }
        let announced = self.by_incarnation.entry(Arc::clone(incarnation));
        let announced = announced.or_insert_with(|| Announced::new(name, now));
        announced.updated = now;
        match notice {
            Notice::Backoff(length) => {
                // A shorter time that is asked for later does not end the longer one.
                let previous = announced.backoff_until.max(now);
                announced.backoff_until = previous.max(now + length.min(MAX_BACKOFF));
                let extension = announced.backoff_until.since(previous);
                (!extension.is_zero()).then_some(Notice::Backoff(extension))
            }
            Notice::Draining => {
                let was_known = std::mem::replace(&mut announced.is_draining, true);
                (!was_known).then_some(Notice::Draining)
            }
            Notice::Unreadable(text) => {
                let was_known = std::mem::replace(&mut announced.is_unreadable, true);
                (!was_known).then_some(Notice::Unreadable(text))
            }
        }
    }

    /// Applies recent notices of other incarnations of a listed server to it, as they may have come from this one.
    ///
    /// A notice that an incarnation drains only causes a short backoff: the next response shows whether it was this
    /// one, and another incarnation's notice must not exclude it for good.
    pub fn inherit(&mut self, server: &Server, now: Instant) {
        let others = self.by_incarnation.iter();
        let others = others.filter(|(incarnation, announced)| {
            let is_other = **incarnation != server.incarnation && announced.name == server.name;
            is_other && now.since(announced.updated) < MAX_LIST_LAG
        });
        let until = others.map(|(_, announced)| {
            if announced.is_draining {
                announced
                    .backoff_until
                    .max(announced.updated + MAX_LIST_LAG)
            } else {
                announced.backoff_until
            }
        });
        let Some(until) = until.max().filter(|until| now < *until) else {
            return;
        };
        let announced = self.by_incarnation.entry(Arc::clone(&server.incarnation));
        // The time of the last notice stays in the past, so that other incarnations do not inherit it in turn.
        let announced =
            announced.or_insert_with(|| Announced::new(&server.name, Instant::default()));
        announced.backoff_until = announced.backoff_until.max(until);
    }

    /// Whether an incarnation must get no request at `now`, whoever chose it.
    #[must_use]
    pub fn excludes(&self, incarnation: &str, now: Instant) -> bool {
        self.active(incarnation, now).is_some()
    }

    /// Whether an incarnation has announced that it drains.
    #[must_use]
    pub fn is_draining(&self, incarnation: &str) -> bool {
        self.by_incarnation
            .get(incarnation)
            .is_some_and(|announced| announced.is_draining)
    }

    /// For how much longer an incarnation wants no requests.
    #[must_use]
    pub fn backoff(&self, incarnation: &str, now: Instant) -> Duration {
        let announced = self.by_incarnation.get(incarnation);
        announced.map_or(Duration::ZERO, |announced| {
            announced.backoff_until.since(now)
        })
    }

    /// The notice of an incarnation that is in effect at `now`.
    #[must_use]
    pub fn active(&self, incarnation: &str, now: Instant) -> Option<Notice> {
        if self.is_draining(incarnation) {
            return Some(Notice::Draining);
        }
        let backoff = self.backoff(incarnation, now);
        (!backoff.is_zero()).then_some(Notice::Backoff(backoff))
    }

    /// The incarnations that back off at `now`, and for how much longer.
    pub fn backing_off(&self, now: Instant) -> impl Iterator<Item = (Arc<str>, Duration)> {
        let backing_off = self
            .by_incarnation
            .iter()
            .filter(move |(_, announced)| now < announced.backoff_until);
        backing_off.map(move |(incarnation, announced)| {
            (Arc::clone(incarnation), announced.backoff_until.since(now))
        })
    }

    /// Removes everything that is no longer in effect, or the oldest entry if that makes no room.
    fn make_room(&mut self, now: Instant) {
        self.by_incarnation
            .retain(|_, announced| announced.is_draining || now < announced.backoff_until);
        let oldest = self
            .by_incarnation
            .iter()
            .min_by_key(|(_, announced)| announced.updated);
        if self.by_incarnation.len() >= MAX_SERVERS
            && let Some(oldest) = oldest.map(|(incarnation, _)| Arc::clone(incarnation))
        {
            self.by_incarnation.remove(&oldest);
        }
    }
}

//! What backend servers say of themselves in their answers to this host: that they want rest, or leave.
//!
//! Load pattern: servers at their limit turn requests away with a time for which they want none, several at once
//! and each host anew, while lists are taken up, hubs change and servers drop out of a pool between two requests.
//! So it stands by incarnation and apart from the list's entries: what was kept in those was gone with the next
//! copy, and a server that had said it leaves got requests again 3 s later.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::gateway::Server;

/// The longest time that a server is left alone at one word of its own: by then an operator has seen to one that
/// means it, and one that does not is missed for no longer.
const LONGEST: Duration = Duration::from_mins(10);

/// How late a list may name another life of a server: what came meanwhile under the name of the former one may
/// have come from it. The lag of the platform's list, and four fetches of a host that hears no hub.
const NAMED_LATE: Duration = Duration::from_secs(5);

/// The most servers that are remembered, some 100 bytes each: half as many again as leave in a day of the largest
/// deployment.
const MOST: usize = 1_024;

/// What a server says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// It wants no requests from this host for so long.
    Backoff(Duration),
    /// It is to end.
    Draining,
    /// It wants rest, for a time that cannot be read: nothing is made of it.
    Unreadable(String),
}

/// What one incarnation has said.
#[derive(Clone, Debug)]
struct Said {
    /// What the server calls itself in any of its lives.
    name: Arc<str>,
    /// Until when it wants no requests.
    until: Instant,
    leaves: bool,
    /// Whether it gave a time that cannot be read.
    unreadable: bool,
    /// When it last said something.
    at: Instant,
}

impl Said {
    fn new(name: &Arc<str>, at: Instant) -> Self {
        Self {
            name: Arc::clone(name),
            until: at,
            leaves: false,
            unreadable: false,
            at,
        }
    }
}

/// What backend servers have said of themselves to this host.
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
/// let rest = Notice::Backoff(Duration::from_secs(3));
/// notices.record(&"i-1".into(), &"i-1".into(), rest, now);
/// assert!(notices.excludes("i-1", now));
/// assert!(!notices.excludes("i-1", now + Duration::from_secs(3)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Notices {
    said: HashMap<Arc<str>, Said>,
}

impl Notices {
    /// Takes note of what an incarnation of the server `name` says; gives what of it is new: of a rest, by how much
    /// longer than before the server is left alone.
    pub fn record(
        &mut self,
        incarnation: &Arc<str>,
        name: &Arc<str>,
        notice: Notice,
        now: Instant,
    ) -> Option<Notice> {
        if self.said.len() >= MOST && !self.said.contains_key(incarnation) {
            self.make_room(now);
        }
        let said = self.said.entry(Arc::clone(incarnation));
        let said = said.or_insert_with(|| Said::new(name, now));
        said.at = now;
        match notice {
            Notice::Backoff(length) => {
                // A shorter time that is asked for later does not end the longer one.
                let former = said.until.max(now);
                said.until = former.max(now + length.min(LONGEST));
                let longer = said.until.since(former);
                (!longer.is_zero()).then_some(Notice::Backoff(longer))
            }
            Notice::Draining => {
                let was_known = std::mem::replace(&mut said.leaves, true);
                (!was_known).then_some(Notice::Draining)
            }
            Notice::Unreadable(text) => {
                let was_known = std::mem::replace(&mut said.unreadable, true);
                (!was_known).then_some(Notice::Unreadable(text))
            }
        }
    }

    /// Meets a server on a list: what was said lately under the name of another life of it may be its own word, and
    /// holds for it.
    ///
    /// Whether it leaves its next answer tells: another life's word must not take it away for good.
    pub fn inherit(&mut self, server: &Server, now: Instant) {
        let others = self.said.iter();
        let others = others.filter(|(incarnation, said)| {
            let is_other = **incarnation != server.incarnation && said.name == server.name;
            is_other && now.since(said.at) < NAMED_LATE
        });
        let until = others.map(|(_, said)| {
            if said.leaves {
                said.until.max(said.at + NAMED_LATE)
            } else {
                said.until
            }
        });
        let Some(until) = until.max().filter(|until| now < *until) else {
            return;
        };
        let said = self.said.entry(Arc::clone(&server.incarnation));
        // Not a word of its own, which would hold for other lives in turn.
        let said = said.or_insert_with(|| Said::new(&server.name, Instant::default()));
        said.until = said.until.max(until);
    }

    /// Whether an incarnation is to get no request at `now`, whoever chose it.
    #[must_use]
    pub fn excludes(&self, incarnation: &str, now: Instant) -> bool {
        self.active(incarnation, now).is_some()
    }

    /// Whether an incarnation has said that it leaves.
    #[must_use]
    pub fn is_draining(&self, incarnation: &str) -> bool {
        self.said.get(incarnation).is_some_and(|said| said.leaves)
    }

    /// For how much longer an incarnation wants no requests.
    #[must_use]
    pub fn backoff(&self, incarnation: &str, now: Instant) -> Duration {
        let said = self.said.get(incarnation);
        said.map_or(Duration::ZERO, |said| said.until.since(now))
    }

    /// What an incarnation has said that holds at `now`.
    #[must_use]
    pub fn active(&self, incarnation: &str, now: Instant) -> Option<Notice> {
        if self.is_draining(incarnation) {
            return Some(Notice::Draining);
        }
        let rest = self.backoff(incarnation, now);
        (!rest.is_zero()).then_some(Notice::Backoff(rest))
    }

    /// Those that want no requests at `now`, and for how much longer.
    pub fn backing_off(&self, now: Instant) -> impl Iterator<Item = (Arc<str>, Duration)> {
        let resting = self.said.iter().filter(move |(_, said)| now < said.until);
        resting.map(move |(incarnation, said)| (Arc::clone(incarnation), said.until.since(now)))
    }

    /// Forgets all that holds no more, else what is oldest.
    fn make_room(&mut self, now: Instant) {
        self.said.retain(|_, said| said.leaves || now < said.until);
        let oldest = self.said.iter().min_by_key(|(_, said)| said.at);
        if self.said.len() >= MOST
            && let Some(oldest) = oldest.map(|(incarnation, _)| Arc::clone(incarnation))
        {
            self.said.remove(&oldest);
        }
    }
}

//! What a gateway may decide by its table.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;

/// Maximum number of announcements that are remembered one by one.
const MAX_ANNOUNCEMENTS: usize = 64;

/// What may be decided by the table that is in effect at a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It includes every change that has been acknowledged. Requests may be forwarded and denied by it.
    Current,
    /// A newer table may have been acknowledged. Requests may be forwarded by it, but not denied.
    Unconfirmed,
    /// There is no table, or a newer one was announced too long ago. Nothing may be decided by it.
    Outdated,
}

/// What a gateway knows of routing tables: which one is in effect, which newer ones exist, and until when it would have
/// heard of another one. Goes by the gateway's own clock.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use curlewlift_core::clock::Instant;
/// use curlewlift_core::publication::Holder;
/// use curlewlift_core::publication::Standing;
/// let start = Instant::default();
/// let mut holder = Holder::new(Duration::from_secs(1));
/// holder.confirm(7, start, Duration::from_millis(600));
/// holder.apply(7);
/// assert_eq!(holder.standing(start), Standing::Current);
/// assert_eq!(holder.standing(start + Duration::from_millis(600)), Standing::Unconfirmed);
/// holder.announce(8, start);
/// assert_eq!(holder.standing(start), Standing::Unconfirmed);
/// assert_eq!(holder.standing(start + Duration::from_secs(1)), Standing::Outdated);
/// ```
#[derive(Clone, Debug)]
pub struct Holder {
    in_effect: u64,
    /// The newer tables that were announced, by version, and when.
    announcements: VecDeque<(u64, Instant)>,
    /// The end of the last lease; none before the first one.
    lease_end: Option<Instant>,
    /// How long requests may be forwarded by a table after a newer one was announced.
    max_outdated: Duration,
}

impl Holder {
    /// Creates a holder without a table. Requests may be forwarded by a table until `max_outdated` after a newer one was
    /// announced.
    #[must_use]
    pub fn new(max_outdated: Duration) -> Self {
        Self {
            in_effect: 0,
            announcements: VecDeque::new(),
            lease_end: None,
            max_outdated,
        }
    }

    /// Returns the version of the table in effect, or 0 before the first one.
    #[must_use]
    pub fn get_in_effect(&self) -> u64 {
        self.in_effect
    }

    /// Returns the version of the newest table that is known to exist.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.announcements
            .back()
            .map_or(self.in_effect, |(version, _)| *version)
    }

    /// Returns when the first table newer than the one in effect was announced.
    #[must_use]
    pub fn superseded_at(&self) -> Option<Instant> {
        self.announcements.front().map(|(_, at)| *at)
    }

    /// Returns when table `version`, or the first newer one, was announced.
    #[must_use]
    pub fn announced_at(&self, version: u64) -> Option<Instant> {
        let mut announcements = self.announcements.iter();
        let announced = announcements.find(|(announced, _)| *announced >= version);
        announced.map(|(_, at)| *at)
    }

    /// Records that table `version` exists; returns false if that or a newer one is known.
    pub fn announce(&mut self, version: u64, now: Instant) -> bool {
        if version <= self.newest() {
            return false;
        }
        let is_full = self.announcements.len() >= MAX_ANNOUNCEMENTS;
        match self.announcements.back_mut() {
            // The earlier time makes the table count as outdated sooner.
            Some(last) if is_full => last.0 = version,
            _ => self.announcements.push_back((version, now)),
        }
        true
    }

    /// Records a leader's reply to a call sent at `sent_at`: `newest` is the newest table, and no newer one is
    /// acknowledged without this gateway's knowledge within `lease`.
    pub fn confirm(&mut self, newest: u64, sent_at: Instant, lease: Duration) {
        self.announce(newest, sent_at);
        // The reply of a former leader says nothing of a table that it does not know.
        if newest >= self.newest() {
            self.lease_end = self.lease_end.max(Some(sent_at + lease));
        }
    }

    /// Records that table `version` is in effect; returns false, and changes nothing, if it is not newer than the one
    /// before.
    pub fn apply(&mut self, version: u64) -> bool {
        if version <= self.in_effect {
            return false;
        }
        self.in_effect = version;
        self.announcements
            .retain(|(announced, _)| *announced > version);
        true
    }

    /// Returns what may be decided by the table in effect at `now`.
    #[must_use]
    pub fn standing(&self, now: Instant) -> Standing {
        let is_outdated = |at| now.since(at) >= self.max_outdated;
        if self.in_effect == 0 || self.superseded_at().is_some_and(is_outdated) {
            Standing::Outdated
        } else if self.announcements.is_empty() && self.has_lease(now) {
            Standing::Current
        } else {
            Standing::Unconfirmed
        }
    }

    /// Returns whether a lease is held at `now`.
    #[must_use]
    pub fn has_lease(&self, now: Instant) -> bool {
        self.lease_end.is_some_and(|end| now < end)
    }
}

//! A bounded table of streams that have begun.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;

use super::Key;
use super::Origin;
use super::Record;

/// The longest time for which a stream is kept, whatever its caller's deadline.
const MAX_LIFETIME: Duration = Duration::from_mins(10);

/// What a table knows of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// It began there.
    Begun(Arc<Origin>),
    /// Two hosts say that it began at different versions: a caller has used a request's id twice.
    Conflicting,
}

#[derive(Clone, Debug)]
struct Entry {
    /// Where it began; `None` if records contradict each other.
    origin: Option<Arc<Origin>>,
    /// When its caller can no longer resume it.
    expires: Instant,
}

/// The streams that have begun, of which the oldest are dropped when there are too many.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use curlewlift_core::clock::Instant;
/// use curlewlift_core::quarantine::Identity;
/// use curlewlift_core::stream::Found;
/// use curlewlift_core::stream::Key;
/// use curlewlift_core::stream::Origin;
/// use curlewlift_core::stream::Record;
/// use curlewlift_core::stream::Table;
/// let origin = Origin { service: "chat".parse()?, version: "v1".parse().expect("a version") };
/// let key = Key::new(&Identity::default(), b"r-1");
/// let mut table = Table::new(100);
/// let now = Instant::default();
/// let remaining = Duration::from_secs(5);
/// table.record(&Record { key, origin: origin.clone(), remaining }, now);
/// assert_eq!(table.find(key, now), Some(Found::Begun(origin.into())));
/// assert_eq!(table.find(key, now + remaining), None);
/// # Ok::<(), curlewlift_core::id::InvalidName>(())
/// ```
#[derive(Clone, Debug)]
pub struct Table {
    capacity: usize,
    entries: HashMap<Key, Entry>,
    /// The streams in the order in which they were recorded first.
    order: VecDeque<Key>,
    /// One copy of each origin, which the entries share.
    origins: BTreeSet<Arc<Origin>>,
}

impl Table {
    /// Creates an empty table for at most `capacity` streams.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: HashMap::new(),
            order: VecDeque::new(),
            origins: BTreeSet::new(),
        }
    }

    /// Returns how many streams it contains.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether it contains no streams.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records a stream; returns whether it was unknown.
    pub fn record(&mut self, record: &Record, now: Instant) -> bool {
        if record.remaining.is_zero() {
            return false;
        }
        let expires = now + record.remaining.min(MAX_LIFETIME);
        let origin = self.share(&record.origin);
        if let Some(entry) = self.entries.get_mut(&record.key) {
            if entry.expires > now && entry.origin.as_ref() != Some(&origin) {
                entry.origin = None;
            } else {
                entry.origin = Some(origin);
            }
            entry.expires = entry.expires.max(expires);
            return false;
        }
        let entry = Entry {
            origin: Some(origin),
            expires,
        };
        self.entries.insert(record.key, entry);
        self.order.push_back(record.key);
        self.drop_first(now);
        true
    }

    /// Returns what is known of a stream.
    #[must_use]
    pub fn find(&self, key: Key, now: Instant) -> Option<Found> {
        let entry = self.entries.get(&key).filter(|entry| entry.expires > now)?;
        let origin = entry.origin.clone();
        Some(origin.map_or(Found::Conflicting, Found::Begun))
    }

    /// Returns the record of a stream, for another host.
    #[must_use]
    pub fn get(&self, key: Key, now: Instant) -> Option<Record> {
        let entry = self.entries.get(&key).filter(|entry| entry.expires > now)?;
        Some(Record {
            key,
            origin: Origin::clone(entry.origin.as_ref()?),
            remaining: entry.expires.since(now),
        })
    }

    /// Returns the streams, the last ones recorded first.
    pub fn newest(&self) -> impl Iterator<Item = Key> {
        self.order.iter().rev().copied()
    }

    /// Drops the oldest streams while they have expired or there are too many.
    fn drop_first(&mut self, now: Instant) {
        while let Some(key) = self.order.front() {
            let is_expired = self
                .entries
                .get(key)
                .is_none_or(|entry| entry.expires <= now);
            if !is_expired && self.order.len() <= self.capacity {
                break;
            }
            self.entries.remove(key);
            self.order.pop_front();
        }
    }

    /// The shared copy of an origin. Origins without streams are dropped.
    fn share(&mut self, origin: &Origin) -> Arc<Origin> {
        if let Some(known) = self.origins.get(origin) {
            return Arc::clone(known);
        }
        self.origins.retain(|known| Arc::strong_count(known) > 1);
        let origin = Arc::new(origin.clone());
        self.origins.insert(Arc::clone(&origin));
        origin
    }
}

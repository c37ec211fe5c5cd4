//! What the hub knows of the limits that servers name.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;
use crate::id;

use super::Key;
use super::Rate;
use super::Word;
use super::Words;

/// Between two times that changes go to the gateways: servers whose limits come and go from answer to answer must not
/// have all of hundreds of gateways answered for each.
const APART: Duration = Duration::from_millis(250);

/// By what part a rate must have changed for gateways to be told: they need it for the next hub only, which is told
/// the rate of now with the next answer.
const CHANGED: f64 = 0.1;

/// How many changes are kept for gateways that are a little behind; others are told the whole.
const RECENT: usize = 64;

/// The most servers that are remembered, some 100 bytes each; what was heard of longest ago goes first.
const MOST: usize = 4_096;

/// The limit of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// The requests a second that it takes.
    pub rate: Rate,
    /// The number of the hub's last grant that was given without regard to it.
    pub from: u64,
    /// Whether an answer to a grant of this hub has named it; what a former hub knew may have changed since.
    pub confirmed: bool,
}

/// A server that has named a limit, or names none any more.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The server.
    pub key: Key,
    /// Its limit now.
    pub limit: Option<Limit>,
}

/// What is new of a table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// The version that they lead to.
    pub version: u64,
    /// The version that they start from; none where they are the whole table.
    pub former: Option<u64>,
    /// The changes between.
    pub changes: Vec<Change>,
}

#[derive(Clone, Debug)]
struct Entry {
    limit: Limit,
    /// The number of the hub's last grant when the limit was last named.
    since: u64,
    heard: Instant,
    /// The rate that gateways were last told.
    told: Rate,
}

/// Up to which word a gateway was heard.
#[derive(Clone, Copy, Debug)]
struct Heard {
    life: u64,
    upto: u64,
}

/// What the hub knows of the limits that servers name.
#[derive(Clone, Debug)]
pub struct Table {
    /// The number that the hub drew.
    hub: u64,
    entries: BTreeMap<Key, Entry>,
    heard: BTreeMap<id::Host, Heard>,
    /// Rises with each change that gateways are told.
    version: u64,
    /// Which servers changed last. What is told of them is what is known then: who has told a word since must not hear
    /// from before it.
    recent: VecDeque<Key>,
    /// Of which servers gateways are still to be told.
    fresh: BTreeSet<Key>,
    /// When gateways were last told something.
    published: Option<Instant>,
}

impl Table {
    /// An empty table of the hub that drew the number `hub`.
    #[must_use]
    pub fn new(hub: u64) -> Self {
        Self {
            hub,
            entries: BTreeMap::new(),
            heard: BTreeMap::new(),
            version: 0,
            recent: VecDeque::new(),
            fresh: BTreeSet::new(),
            published: None,
        }
    }

    /// Takes note of what a gateway tells, `last` being the number of the hub's last grant; gives the servers of which
    /// something was heard.
    pub fn hear(&mut self, host: &id::Host, words: &Words, last: u64, now: Instant) -> Vec<Change> {
        let mut touched = BTreeSet::new();
        let heard = self.heard.get(host);
        let upto = heard.filter(|heard| heard.life == words.life);
        // What is told again until it is acknowledged would undo what was heard in between.
        let upto = upto.map_or(0, |heard| heard.upto);
        let news = words.words.iter().filter(|word| word.number > upto);
        for word in news.clone() {
            touched.extend(self.make_room(word));
            if self.take(word, last, now) {
                touched.insert(word.key.clone());
            }
        }
        let upto = news.map(|word| word.number).fold(upto, u64::max);
        let life = words.life;
        self.heard.insert(host.clone(), Heard { life, upto });
        touched.iter().map(|key| self.change(key)).collect()
    }

    /// Takes one word; whether it says something of a limit.
    fn take(&mut self, word: &Word, last: u64, now: Instant) -> bool {
        let entry = self.entries.get_mut(&word.key);
        let is_newer =
            |entry: &Entry| word.mark.hub_id == self.hub && word.mark.number > entry.since;
        let Some(rate) = word.rate else {
            // An answer that may be older than the word says nothing.
            let lifts = entry.is_some_and(|entry| is_newer(entry));
            if lifts {
                self.entries.remove(&word.key);
                self.fresh.insert(word.key.clone());
            }
            return lifts;
        };
        let confirmed = word.mark.hub_id == self.hub;
        if let Some(entry) = entry {
            entry.limit.confirmed |= confirmed;
            // Of two that may have been named in either order the one that allows less counts.
            if is_newer(entry) || rate < entry.limit.rate {
                entry.limit.rate = rate;
            }
            let rate = entry.limit.rate;
            entry.since = last;
            entry.heard = now;
            let told = entry.told.as_f64();
            if (rate.as_f64() - told).abs() > told * CHANGED {
                entry.told = rate;
                self.fresh.insert(word.key.clone());
            }
            return true;
        }
        let limit = Limit {
            rate,
            from: last,
            confirmed,
        };
        let entry = Entry {
            limit,
            since: last,
            heard: now,
            told: rate,
        };
        self.entries.insert(word.key.clone(), entry);
        self.fresh.insert(word.key.clone());
        true
    }

    /// Forgets the server that was heard of longest ago, where there is no room for that of `word`.
    fn make_room(&mut self, word: &Word) -> Option<Key> {
        if self.entries.len() < MOST || self.entries.contains_key(&word.key) {
            return None;
        }
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.heard);
        let oldest = oldest.map(|(key, _)| key.clone())?;
        self.entries.remove(&oldest);
        self.fresh.insert(oldest.clone());
        Some(oldest)
    }

    fn change(&self, key: &Key) -> Change {
        let entry = self.entries.get(key);
        Change {
            key: key.clone(),
            limit: entry.map(|entry| entry.limit.clone()),
        }
    }

    /// The limits of a service's servers, and when each was last heard of.
    pub fn of_service<'a>(
        &'a self,
        service: &'a id::Service,
    ) -> impl Iterator<Item = (&'a Key, &'a Limit, Instant)> {
        let entries = self.entries.iter();
        let entries = entries.filter(move |(key, _)| key.service == *service);
        entries.map(|(key, entry)| (key, &entry.limit, entry.heard))
    }

    /// Makes a version of what has changed, where it is time to; whether there is a new one.
    pub fn publish(&mut self, now: Instant) -> bool {
        let is_soon = |at: Instant| now.since(at) < APART;
        if self.fresh.is_empty() || self.published.is_some_and(is_soon) {
            return false;
        }
        self.published = Some(now);
        for key in std::mem::take(&mut self.fresh) {
            self.version += 1;
            self.recent.push_back(key);
            if self.recent.len() > RECENT {
                self.recent.pop_front();
            }
        }
        true
    }

    /// Whether a gateway that holds `version` of the table of the hub `hub` is behind.
    #[must_use]
    pub fn is_news(&self, (hub, version): (u64, u64)) -> bool {
        hub != self.hub || version != self.version
    }

    /// What leads from what a gateway holds to this table; none where it is this one.
    #[must_use]
    pub fn since(&self, (hub, version): (u64, u64)) -> Option<News> {
        if !self.is_news((hub, version)) {
            return None;
        }
        let missing = self.version.checked_sub(version);
        let missing = missing.filter(|_| hub == self.hub);
        let missing = missing.and_then(|missing| usize::try_from(missing).ok());
        let first = missing.and_then(|missing| self.recent.len().checked_sub(missing));
        let changes = match first {
            Some(first) => {
                let recent = self.recent.iter().skip(first);
                recent.map(|key| self.change(key)).collect()
            }
            None => self.entries.keys().map(|key| self.change(key)).collect(),
        };
        Some(News {
            version: self.version,
            former: first.map(|_| version),
            changes,
        })
    }

    /// Forgets what was heard of gateways that are not among `hosts`.
    pub fn keep(&mut self, is_known: impl Fn(&id::Host) -> bool) {
        self.heard.retain(|host, _| is_known(host));
    }
}

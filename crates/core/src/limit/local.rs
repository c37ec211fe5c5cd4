//! What a gateway knows of the limits that servers name.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::gateway::GrantId;
use crate::gateway::Server;
use crate::id;

use super::Change;
use super::Key;
use super::Limit;
use super::News;
use super::Rate;
use super::Said;
use super::Word;
use super::Words;

/// The most servers of which is remembered that they named something odd.
const MOST_ODD: usize = 256;

/// How late a list may name another life of a server: what was heard meanwhile under the name of the former one may have
/// come from it. The lag of the platform's list, and four fetches of a host that hears no hub.
const NAMED_LATE: Duration = Duration::from_secs(5);

/// The most servers of which is remembered which life was named last.
const MOST_MET: usize = 4_096;

/// A word that the hub has not acknowledged, and when it was heard.
#[derive(Clone, Debug)]
struct Untold {
    word: Word,
    heard: Instant,
}

/// What a gateway knows of the limits that servers name: what the hub told, and what answers said since.
///
/// A word is told until the hub has acknowledged it, and what a hub knew is told to the next one. A place at a server
/// with a limit that its hub did not know of is not taken up ([`Local::closes`]). Only the hub lifts a limit, as it
/// alone can tell which of the answers of all gateways is the newer one.
#[derive(Clone, Debug, Default)]
pub struct Local {
    life: u64,
    /// The hub that it goes by, and the version of its table.
    held: (u64, u64),
    table: BTreeMap<Key, Limit>,
    untold: BTreeMap<Key, Untold>,
    /// What answers named lately, and when.
    named: BTreeMap<Key, (Rate, Instant)>,
    /// The life of each server, by its service and name, that a list or a place named last.
    met: BTreeMap<(id::Service, Arc<str>), Key>,
    /// The number of the last word.
    last: u64,
    /// Servers that have named something odd, which is said once.
    odd: BTreeSet<Key>,
}

impl Local {
    /// Knows nothing yet; `life` is drawn anew by each process.
    #[must_use]
    pub fn new(life: u64) -> Self {
        Self {
            life,
            ..Self::default()
        }
    }

    /// An answer to a request that was sent at `sent`, by the grant with `mark`, said something of its server's limit;
    /// gives what is new of that.
    pub fn hear(
        &mut self,
        server: &Server,
        said: &Said,
        mark: GrantId,
        sent: Instant,
        now: Instant,
    ) -> Option<Said> {
        let key = Key::of(server);
        let known = self.get(&key);
        if let Said::Named(rate) = said {
            self.named.retain(|_, (_, at)| now.since(*at) < NAMED_LATE);
            self.named.insert(key.clone(), (*rate, now));
        }
        let rate = match said {
            Said::Named(rate) => Some(*rate),
            Said::Nothing if known.is_some() => None,
            Said::Nothing => return None,
            Said::Odd(_) => return self.odd(key).then(|| said.clone()),
        };
        let word = Word {
            number: 0,
            key,
            rate,
            mark,
        };
        self.note(word, sent, now);
        if let Some(rate) = rate {
            self.hold_next_life(server, rate, now);
        }
        let is_new = rate.is_some() && known.map(|limit| limit.rate) != rate;
        is_new.then(|| said.clone())
    }

    /// Meets servers of a list or a place: what was heard lately under the name of another life of one may be its own
    /// word, and holds for it until an answer of its own says otherwise. Gives the servers of which that is so.
    pub fn meet<'a>(
        &mut self,
        servers: impl Iterator<Item = &'a Server>,
        now: Instant,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for server in servers {
            let key = Key::of(server);
            if self.met.len() >= MOST_MET {
                self.met.clear();
            }
            let name = (key.service.clone(), Arc::clone(&key.name));
            self.met.insert(name, key.clone());
            let rate = self.of_another_life(&key, now);
            let Some(rate) = rate.filter(|_| self.get(&key).is_none()) else {
                continue;
            };
            self.note_limit(key.clone(), rate, now);
            let limit = self.get(&key);
            changes.push(Change { key, limit });
        }
        changes
    }

    /// A life of a server that has begun since a request was sent to the former one may have answered it.
    fn hold_next_life(&mut self, server: &Server, rate: Rate, now: Instant) {
        if let Some(key) = self.next_life(server) {
            self.note_limit(key, rate, now);
        }
    }

    /// Another life of a server, which was named since.
    fn next_life(&self, server: &Server) -> Option<Key> {
        let name = (server.service.clone(), Arc::clone(&server.name));
        let next = self.met.get(&name);
        let next = next.filter(|key| key.incarnation != server.incarnation);
        next.cloned()
    }

    /// The least that was heard lately under the name of another life of a server.
    fn of_another_life(&self, key: &Key, now: Instant) -> Option<Rate> {
        let is_it = |other: &Key| other.service == key.service && other.name == key.name;
        let others = self.named.iter().filter(|(other, _)| is_it(other));
        let lately = others.filter(|(other, (_, at))| {
            other.incarnation != key.incarnation && now.since(*at) < NAMED_LATE
        });
        let rates = lately.map(|(_, (rate, _))| *rate);
        rates.reduce(|a, b| if a < b { a } else { b })
    }

    fn odd(&mut self, key: Key) -> bool {
        if self.odd.len() >= MOST_ODD {
            self.odd.clear();
        }
        self.odd.insert(key)
    }

    /// Keeps a limit to be told, of which nothing says how new it is.
    fn note_limit(&mut self, key: Key, rate: Rate, now: Instant) {
        let word = Word {
            number: 0,
            key,
            rate: Some(rate),
            mark: GrantId::default(),
        };
        self.note(word, Instant::default(), now);
    }

    /// Keeps a word to be told, with what of a former one still counts.
    fn note(&mut self, mut word: Word, sent: Instant, now: Instant) {
        let former = self.untold.get(&word.key);
        // Of two that may have been said in either order the one that allows less counts.
        let unordered = former.filter(|former| sent < former.heard);
        if let Some(former) = unordered {
            let former = &former.word;
            if former.rate.is_some() || word.rate.is_some() {
                word.mark = GrantId::default();
            }
            word.rate = match (former.rate, word.rate) {
                (Some(a), Some(b)) if a <= b => Some(a),
                (a, b) => b.or(a),
            };
        }
        self.last += 1;
        word.number = self.last;
        let untold = Untold { word, heard: now };
        self.untold.insert(untold.word.key.clone(), untold);
    }

    /// The limit of a server, as far as it is known here.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<Limit> {
        let untold = self.untold.get(key);
        let heard = untold.and_then(|untold| untold.word.rate);
        let told = self.table.get(key);
        let Some(rate) = heard else {
            return told.cloned();
        };
        let least = told.map(|told| told.rate).filter(|told| *told < rate);
        Some(Limit {
            rate: least.unwrap_or(rate),
            from: u64::MAX,
            confirmed: false,
        })
    }

    /// Whether a request with a place by the grant `mark`, which was not drawn from its server's limit, is not to be
    /// sent: who gave the place did not know of the limit.
    #[must_use]
    pub fn closes(&self, server: &Server, mark: GrantId) -> bool {
        let key = Key::of(server);
        // A life that has begun since may answer to the same name.
        let next = self.next_life(server);
        let lives = next.iter().chain([&key]);
        let mut limits = lives.filter_map(|key| self.get(key));
        // A later grant of the same hub was given once it had heard that the limit is lifted.
        limits.any(|limit| mark.hub_id != self.held.0 || mark.number <= limit.from)
    }

    /// The version of the table that it holds, and whose.
    #[must_use]
    pub fn get_held(&self) -> (u64, u64) {
        self.held
    }

    /// What the hub has not acknowledged.
    #[must_use]
    pub fn words(&self) -> Words {
        let words = self.untold.values().map(|untold| untold.word.clone());
        Words {
            life: self.life,
            words: words.collect(),
        }
    }

    /// Up to which word that is.
    #[must_use]
    pub fn get_last(&self) -> u64 {
        self.last
    }

    /// The hub `hub` has answered, was told all up to the word `upto`, and has `news`; gives the servers of which
    /// something may have changed here.
    pub fn heard(&mut self, hub: u64, upto: u64, news: Option<&News>, now: Instant) -> Vec<Change> {
        let is_other = hub != self.held.0;
        let former = if is_other {
            std::mem::take(&mut self.table)
        } else {
            BTreeMap::new()
        };
        let mut changed = self.acknowledge(upto);
        if is_other {
            self.inherit(former, now);
            self.held = (hub, 0);
        }
        if let Some(news) = news {
            changed.extend(self.take(news));
        }
        let changed = changed.into_iter();
        let changed = changed.map(|key| Change {
            limit: self.get(&key),
            key,
        });
        changed.collect()
    }

    /// The hub has been told all up to the word `upto`.
    fn acknowledge(&mut self, upto: u64) -> BTreeSet<Key> {
        let told = |_: &Key, untold: &mut Untold| untold.word.number <= upto;
        let told: Vec<_> = self.untold.extract_if(.., told).collect();
        let mut changed = BTreeSet::new();
        for (key, Untold { word, .. }) in told {
            // Until it comes with the hub's news.
            if let Some(rate) = word.rate {
                let limit = self.table.entry(key.clone());
                limit.or_insert(Limit {
                    rate,
                    from: u64::MAX,
                    confirmed: false,
                });
            }
            changed.insert(key);
        }
        changed
    }

    /// Another hub knows nothing of what the former one did.
    fn inherit(&mut self, former: BTreeMap<Key, Limit>, now: Instant) {
        // What might lift a limit says nothing to it.
        self.untold.retain(|_, untold| untold.word.rate.is_some());
        for (key, limit) in former {
            self.note_limit(key, limit.rate, now);
        }
    }

    /// Takes up what is new of the hub's table; news that start from another version than is held change nothing.
    fn take(&mut self, news: &News) -> BTreeSet<Key> {
        let mut changed = BTreeSet::new();
        match news.former {
            Some(former) if former != self.held.1 => return changed,
            Some(_) => {}
            None => changed.extend(std::mem::take(&mut self.table).into_keys()),
        }
        for change in &news.changes {
            changed.insert(change.key.clone());
            match &change.limit {
                Some(limit) => self.table.insert(change.key.clone(), limit.clone()),
                None => self.table.remove(&change.key),
            };
        }
        self.held.1 = news.version;
        changed
    }

    /// All limits that are known here.
    pub fn all(&self) -> impl Iterator<Item = Change> {
        let keys: BTreeSet<_> = self.table.keys().chain(self.untold.keys()).collect();
        let limits = keys.into_iter().map(|key| Change {
            key: key.clone(),
            limit: self.get(key),
        });
        limits.filter(|change| change.limit.is_some())
    }

    /// The rate that a server named last, as far as it is known here.
    #[must_use]
    pub fn rate(&self, server: &Server) -> Option<Rate> {
        self.get(&Key::of(server)).map(|limit| limit.rate)
    }
}

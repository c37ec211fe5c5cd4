//! The claims that one entry keeps.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;
use crate::id;
use crate::id::Key;
use crate::id::Shard;
use crate::view::Member;
use crate::view::Roster;

use super::Answer;
use super::Claim;
use super::Fate;
use super::Record;

/// How many shards there are; it never changes.
pub const SHARDS: u64 = 256;

/// One shard's records and how far they can be trusted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The records.
    pub records: HashMap<Key, Record>,
    /// The newest view at whose beginning every copy of this shard was gone; a key drawn before it
    /// may have been used.
    pub lost: Option<id::View>,
    /// The newest view under which a record was written that has been dropped for its age; a key
    /// drawn under it or before may have been used.
    pub dropped: Option<id::View>,
    /// When the loss was noticed, by this entry's clock.
    #[serde(skip)]
    pub since: Instant,
}

/// The answer to a request for a copy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Copy {
    /// The copy.
    Whole(Slot),
    /// The two entries hold different views; ask again.
    OtherView,
    /// There is no whole copy here; ask the next source.
    NotWhole,
}

/// A shard kept here.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Held {
    /// Whole: it may answer.
    Whole(Slot),
    /// Waiting for a copy from one of these, in turn.
    Filling(Vec<Member>),
}

/// The claims that one entry keeps, by shard.
///
/// A claim costs constant time; a view change costs time linear in shards and members. Memory is
/// bounded by `limit` records. Records go after `keep`, oldest first.
#[derive(Clone, Debug)]
pub struct Table {
    own: Member,
    keep: Duration,
    limit: usize,
    view: id::View,
    held: BTreeMap<Shard, Held>,
    /// Whole copies of the former view that are kept elsewhere now, for those who fill theirs.
    former: BTreeMap<Shard, Slot>,
    order: VecDeque<(Instant, id::View, Key)>,
}

impl Table {
    /// An empty table of the entry `own`, which keeps at most `limit` records, each for `keep`.
    #[must_use]
    pub fn new(own: Member, keep: Duration, limit: usize) -> Self {
        Self {
            own,
            keep,
            limit,
            view: id::View::default(),
            held: BTreeMap::new(),
            former: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Takes up a view that has become active: `previous` tells who may have copies.
    ///
    /// A shard that was kept here and still is stays whole; one that was kept here and is not any more
    /// stays for one view, for those who fill theirs. A new one waits for a copy; where no
    /// replica of the former view is left there is none, and the loss is remembered. The first view
    /// of all has nothing to lose.
    pub fn adopt(&mut self, roster: &Roster, previous: &Roster, now: Instant) {
        if roster.number <= self.view {
            return;
        }
        let former_view = self.view;
        self.view = roster.number;
        let mut former = std::mem::take(&mut self.held);
        for shard in (0..SHARDS).map(Shard) {
            let keeps = roster
                .replicas(shard)
                .iter()
                .any(|m| m.host == self.own.host);
            if !keeps {
                continue;
            }
            let valid = former_view == previous.number
                || (former_view.next() == previous.number && self.kept_by(previous, shard));
            let kept = former
                .remove(&shard)
                .filter(|held| valid && matches!(held, Held::Whole(_)));
            let held = kept.unwrap_or_else(|| self.begin(shard, roster, previous, now));
            self.held.insert(shard, held);
        }
        let fresh = former_view == previous.number;
        let whole = former.into_iter().filter_map(|(shard, held)| match held {
            Held::Whole(slot) if fresh => Some((shard, slot)),
            _ => None,
        });
        self.former = whole.collect();
    }

    /// Whether this entry had to agree to every claim of `shard` under `previous`.
    ///
    /// If it had, and never took that view up, no claim was granted meanwhile: its copy is whole.
    fn kept_by(&self, previous: &Roster, shard: Shard) -> bool {
        let replicas = previous.replicas(shard);
        replicas
            .iter()
            .any(|m| m.host == self.own.host && m.incarnation == self.own.incarnation)
    }

    fn begin(&self, shard: Shard, roster: &Roster, previous: &Roster, now: Instant) -> Held {
        if previous.number == id::View(0) {
            return Held::Whole(Slot::default());
        }
        let former = previous.replicas(shard).into_iter();
        let sources: Vec<_> = former
            .filter(|m| roster.has(m) && m.host != self.own.host)
            .cloned()
            .collect();
        if sources.is_empty() {
            self.lost(now)
        } else {
            Held::Filling(sources)
        }
    }

    fn lost(&self, now: Instant) -> Held {
        Held::Whole(Slot {
            lost: Some(self.view),
            since: now,
            ..Slot::default()
        })
    }

    /// Answers a claim, and keeps it where it is granted.
    pub fn claim(&mut self, claim: &Claim, now: Instant) -> Answer {
        self.drop_old(now);
        if claim.view != self.view {
            return Answer::OtherView(self.view);
        }
        let full = self.order.len() >= self.limit;
        let Some(held) = self.held.get_mut(&claim.key.shard(SHARDS)) else {
            return Answer::OtherView(self.view);
        };
        let Held::Whole(slot) = held else {
            return Answer::Filling;
        };
        let earlier = slot.records.get(&claim.key);
        if let Some(earlier) = earlier.filter(|earlier| !earlier.is_free()) {
            return earlier_answer(earlier, &claim.record);
        }
        if slot.lost.is_some() && now.since(slot.since) > self.keep {
            slot.lost = None;
        }
        let drawn_after = |lost: id::View| claim.stamp.is_some_and(|stamp| stamp >= lost);
        if claim.sole && slot.lost.is_some_and(|lost| !drawn_after(lost)) {
            return Answer::Lost;
        }
        if claim
            .stamp
            .is_some_and(|stamp| slot.dropped.is_some_and(|dropped| stamp <= dropped))
        {
            return Answer::TooOld;
        }
        if full {
            return Answer::Full;
        }
        let mut record = claim.record.clone();
        record.written = now;
        slot.records.insert(claim.key, record);
        self.order.push_back((now, self.view, claim.key));
        Answer::Granted
    }

    /// What is kept of `key` here.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Record> {
        match self.held.get(&key.shard(SHARDS)) {
            Some(Held::Whole(slot)) => slot.records.get(&key),
            _ => None,
        }
    }

    /// Keeps what became of `key`, if its holder says so.
    pub fn end(&mut self, key: Key, ticket: id::Ticket, holder: &id::Host, fate: Fate) {
        let Some(Held::Whole(slot)) = self.held.get_mut(&key.shard(SHARDS)) else {
            return;
        };
        let record = slot.records.get_mut(&key);
        let own = record.filter(|record| record.ticket == ticket && &record.holder == holder);
        if let Some(record) = own {
            record.fate = fate;
        }
    }

    fn drop_old(&mut self, now: Instant) {
        while self
            .order
            .front()
            .is_some_and(|first| now.since(first.0) > self.keep)
        {
            let Some((written, view, key)) = self.order.pop_front() else {
                return;
            };
            let Some(Held::Whole(slot)) = self.held.get_mut(&key.shard(SHARDS)) else {
                continue;
            };
            let same = slot
                .records
                .get(&key)
                .is_some_and(|record| record.written == written);
            if same && slot.records.remove(&key).is_some() {
                slot.dropped = slot.dropped.max(Some(view));
            }
        }
    }

    /// How many records are kept.
    #[must_use]
    pub fn count(&self) -> usize {
        self.order.len()
    }
}

/// # Copies
impl Table {
    /// The shards that wait for a copy, with the member to ask for each.
    #[must_use]
    pub fn wanted(&self) -> Vec<(Shard, Member)> {
        let filling = self.held.iter().filter_map(|(shard, held)| match held {
            Held::Filling(sources) => sources.first().map(|member| (*shard, member.clone())),
            Held::Whole(_) => None,
        });
        filling.collect()
    }

    /// The copy of `shard` for another entry that holds `view`.
    #[must_use]
    pub fn copy(&self, shard: Shard, view: id::View) -> Copy {
        if view != self.view {
            return Copy::OtherView;
        }
        match self.held.get(&shard) {
            Some(Held::Whole(slot)) => Copy::Whole(slot.clone()),
            Some(Held::Filling(_)) => Copy::NotWhole,
            None => {
                let former = self.former.get(&shard);
                former.map_or(Copy::NotWhole, |slot| Copy::Whole(slot.clone()))
            }
        }
    }

    /// Takes in the copy of `shard` that `source` gave under `view`.
    pub fn fill(&mut self, shard: Shard, view: id::View, mut slot: Slot, now: Instant) {
        let filling = matches!(self.held.get(&shard), Some(Held::Filling(_)));
        if view != self.view || !filling {
            return;
        }
        slot.since = now;
        for (key, record) in &mut slot.records {
            record.written = now;
            self.order.push_back((now, view, *key));
        }
        self.held.insert(shard, Held::Whole(slot));
    }

    /// Passes to the next source of `shard`; where none is left, its records are lost.
    pub fn refuse(&mut self, shard: Shard, source: &id::Host, now: Instant) {
        let lost = self.lost(now);
        let Some(held) = self.held.get_mut(&shard) else {
            return;
        };
        let Held::Filling(sources) = held else { return };
        sources.retain(|member| &member.host != source);
        if sources.is_empty() {
            *held = lost;
        }
    }
}

/// The answer where `earlier` stands in the way of `claimed`.
fn earlier_answer(earlier: &Record, claimed: &Record) -> Answer {
    let same_claim = earlier.holder == claimed.holder
        && earlier.incarnation == claimed.incarnation
        && earlier.ticket == claimed.ticket;
    if earlier.body != claimed.body {
        Answer::OtherBody
    } else if same_claim {
        Answer::Granted
    } else {
        Answer::Earlier(earlier.clone())
    }
}

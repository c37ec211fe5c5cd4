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

use super::Claim;
use super::Record;
use super::Response;
use super::Status;

/// How many shards there are; it never changes.
pub const SHARD_COUNT: u64 = 256;

/// One shard's records and how far they can be trusted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRecords {
    /// The records.
    pub records: HashMap<Key, Record>,
    /// The newest view at whose beginning every copy of this shard was gone; a key drawn before it
    /// may have been used.
    pub lost_at: Option<id::View>,
    /// The newest view under which a record was written that has been dropped for its age; a key
    /// drawn under it or before may have been used.
    pub expired_up_to: Option<id::View>,
    /// When the loss was noticed, by this entry's clock.
    #[serde(skip)]
    pub loss_noticed: Instant,
}

/// The answer to a request for a copy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CopyResponse {
    /// The copy.
    Complete(ShardRecords),
    /// The two entries hold different views; ask again.
    ViewMismatch,
    /// There is no whole copy here; ask the next source.
    Incomplete,
}

/// A shard kept here.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ShardState {
    /// Whole: it may answer.
    Complete(ShardRecords),
    /// Waiting for a copy from one of these, in turn.
    Filling(Vec<Member>),
}

/// The claims that one entry keeps, by shard.
///
/// A claim costs constant time; a view change costs time linear in shards and members. Memory is
/// bounded by `limit` records. Records go after `keep`, oldest first.
#[derive(Clone, Debug)]
pub struct Table {
    member: Member,
    retention: Duration,
    max_records: usize,
    view: id::View,
    shards: BTreeMap<Shard, ShardState>,
    /// Whole copies of the former view that are kept elsewhere now, for those who fill theirs.
    previous_shards: BTreeMap<Shard, ShardRecords>,
    expiry_queue: VecDeque<(Instant, id::View, Key)>,
}

impl Table {
    /// An empty table of the entry `own`, which keeps at most `limit` records, each for `keep`.
    #[must_use]
    pub fn new(own: Member, keep: Duration, limit: usize) -> Self {
        Self {
            member: own,
            retention: keep,
            max_records: limit,
            view: id::View::default(),
            shards: BTreeMap::new(),
            previous_shards: BTreeMap::new(),
            expiry_queue: VecDeque::new(),
        }
    }

    /// Takes up a view that has become active: `previous` tells who may have copies.
    ///
    /// A shard that was kept here and still is stays whole; one that was kept here and is not any more
    /// stays for one view, for those who fill theirs. A new one waits for a copy; where no
    /// replica of the former view is left there is none, and the loss is remembered. The first view
    /// of all has nothing to lose.
    pub fn apply_view(&mut self, roster: &Roster, previous: &Roster, now: Instant) {
        if roster.number <= self.view {
            return;
        }
        let former_view = self.view;
        self.view = roster.number;
        let mut former = std::mem::take(&mut self.shards);
        for shard in (0..SHARD_COUNT).map(Shard) {
            let keeps = roster
                .replicas(shard)
                .iter()
                .any(|m| m.host == self.member.host);
            if !keeps {
                continue;
            }
            let valid = former_view == previous.number
                || (former_view.next() == previous.number && self.was_replica(previous, shard));
            let kept = former
                .remove(&shard)
                .filter(|held| valid && matches!(held, ShardState::Complete(_)));
            let held = kept.unwrap_or_else(|| self.initial_state(shard, roster, previous, now));
            self.shards.insert(shard, held);
        }
        let fresh = former_view == previous.number;
        let whole = former.into_iter().filter_map(|(shard, held)| match held {
            ShardState::Complete(slot) if fresh => Some((shard, slot)),
            _ => None,
        });
        self.previous_shards = whole.collect();
    }

    /// Whether this entry had to agree to every claim of `shard` under `previous`.
    ///
    /// If it had, and never took that view up, no claim was granted meanwhile: its copy is whole.
    fn was_replica(&self, previous: &Roster, shard: Shard) -> bool {
        let replicas = previous.replicas(shard);
        replicas
            .iter()
            .any(|m| m.host == self.member.host && m.incarnation == self.member.incarnation)
    }

    fn initial_state(
        &self,
        shard: Shard,
        roster: &Roster,
        previous: &Roster,
        now: Instant,
    ) -> ShardState {
        if previous.number == id::View(0) {
            return ShardState::Complete(ShardRecords::default());
        }
        let former = previous.replicas(shard).into_iter();
        let sources: Vec<_> = former
            .filter(|m| roster.has(m) && m.host != self.member.host)
            .cloned()
            .collect();
        if sources.is_empty() {
            self.lost_state(now)
        } else {
            ShardState::Filling(sources)
        }
    }

    fn lost_state(&self, now: Instant) -> ShardState {
        ShardState::Complete(ShardRecords {
            lost_at: Some(self.view),
            loss_noticed: now,
            ..ShardRecords::default()
        })
    }

    /// Answers a claim, and keeps it where it is granted.
    pub fn claim(&mut self, claim: &Claim, now: Instant) -> Response {
        self.expire_records(now);
        if claim.view != self.view {
            return Response::ViewMismatch(self.view);
        }
        let full = self.expiry_queue.len() >= self.max_records;
        let Some(held) = self.shards.get_mut(&claim.key.shard(SHARD_COUNT)) else {
            return Response::ViewMismatch(self.view);
        };
        let ShardState::Complete(slot) = held else {
            return Response::Filling;
        };
        let earlier = slot.records.get(&claim.key);
        if let Some(earlier) = earlier.filter(|earlier| !earlier.is_reclaimable()) {
            return conflict_response(earlier, &claim.record);
        }
        if slot.lost_at.is_some() && now.since(slot.loss_noticed) > self.retention {
            slot.lost_at = None;
        }
        let drawn_after = |lost: id::View| claim.stamp.is_some_and(|stamp| stamp >= lost);
        if claim.sole && slot.lost_at.is_some_and(|lost| !drawn_after(lost)) {
            return Response::RecordsLost;
        }
        if claim
            .stamp
            .is_some_and(|stamp| slot.expired_up_to.is_some_and(|dropped| stamp <= dropped))
        {
            return Response::KeyTooOld;
        }
        if full {
            return Response::TableFull;
        }
        let mut record = claim.record.clone();
        record.written = now;
        slot.records.insert(claim.key, record);
        self.expiry_queue.push_back((now, self.view, claim.key));
        Response::Granted
    }

    /// What is kept of `key` here.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Record> {
        match self.shards.get(&key.shard(SHARD_COUNT)) {
            Some(ShardState::Complete(slot)) => slot.records.get(&key),
            _ => None,
        }
    }

    /// Keeps what became of `key`, if its holder says so.
    pub fn record_end(&mut self, key: Key, ticket: id::Ticket, holder: &id::Host, fate: Status) {
        let Some(ShardState::Complete(slot)) = self.shards.get_mut(&key.shard(SHARD_COUNT)) else {
            return;
        };
        let record = slot.records.get_mut(&key);
        let own = record.filter(|record| record.ticket == ticket && &record.holder == holder);
        if let Some(record) = own {
            record.status = fate;
        }
    }

    fn expire_records(&mut self, now: Instant) {
        while self
            .expiry_queue
            .front()
            .is_some_and(|first| now.since(first.0) > self.retention)
        {
            let Some((written, view, key)) = self.expiry_queue.pop_front() else {
                return;
            };
            let Some(ShardState::Complete(slot)) = self.shards.get_mut(&key.shard(SHARD_COUNT))
            else {
                continue;
            };
            let same = slot
                .records
                .get(&key)
                .is_some_and(|record| record.written == written);
            if same && slot.records.remove(&key).is_some() {
                slot.expired_up_to = slot.expired_up_to.max(Some(view));
            }
        }
    }

    /// How many records are kept.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.expiry_queue.len()
    }
}

/// # Copies
impl Table {
    /// The shards that wait for a copy, with the member to ask for each.
    #[must_use]
    pub fn pending_copies(&self) -> Vec<(Shard, Member)> {
        let filling = self.shards.iter().filter_map(|(shard, held)| match held {
            ShardState::Filling(sources) => sources.first().map(|member| (*shard, member.clone())),
            ShardState::Complete(_) => None,
        });
        filling.collect()
    }

    /// The copy of `shard` for another entry that holds `view`.
    #[must_use]
    pub fn copy_shard(&self, shard: Shard, view: id::View) -> CopyResponse {
        if view != self.view {
            return CopyResponse::ViewMismatch;
        }
        match self.shards.get(&shard) {
            Some(ShardState::Complete(slot)) => CopyResponse::Complete(slot.clone()),
            Some(ShardState::Filling(_)) => CopyResponse::Incomplete,
            None => {
                let former = self.previous_shards.get(&shard);
                former.map_or(CopyResponse::Incomplete, |slot| {
                    CopyResponse::Complete(slot.clone())
                })
            }
        }
    }

    /// Takes in the copy of `shard` that `source` gave under `view`.
    pub fn install_copy(
        &mut self,
        shard: Shard,
        view: id::View,
        mut slot: ShardRecords,
        now: Instant,
    ) {
        let filling = matches!(self.shards.get(&shard), Some(ShardState::Filling(_)));
        if view != self.view || !filling {
            return;
        }
        slot.loss_noticed = now;
        for (key, record) in &mut slot.records {
            record.written = now;
            self.expiry_queue.push_back((now, view, *key));
        }
        self.shards.insert(shard, ShardState::Complete(slot));
    }

    /// Passes to the next source of `shard`; where none is left, its records are lost.
    pub fn skip_source(&mut self, shard: Shard, source: &id::Host, now: Instant) {
        let lost = self.lost_state(now);
        let Some(held) = self.shards.get_mut(&shard) else {
            return;
        };
        let ShardState::Filling(sources) = held else {
            return;
        };
        sources.retain(|member| &member.host != source);
        if sources.is_empty() {
            *held = lost;
        }
    }
}

/// The answer where `earlier` stands in the way of `claimed`.
fn conflict_response(earlier: &Record, claimed: &Record) -> Response {
    let same_claim = earlier.holder == claimed.holder
        && earlier.incarnation == claimed.incarnation
        && earlier.ticket == claimed.ticket;
    if earlier.digest != claimed.digest {
        Response::BodyMismatch
    } else if same_claim {
        Response::Granted
    } else {
        Response::AlreadyClaimed(earlier.clone())
    }
}

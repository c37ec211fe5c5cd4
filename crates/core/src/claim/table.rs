//! The table of claims that one entry stores.

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

/// The number of shards; it must never change.
pub const SHARD_COUNT: u64 = 256;

/// The records of one shard, and from which keys on they are complete.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRecords {
    /// The records.
    pub records: HashMap<Key, Record>,
    /// The newest view at whose start every copy of this shard was lost. A key generated under an
    /// earlier view may have been used.
    pub lost_at: Option<id::View>,
    /// The newest view under which a record was stored that has expired since. A key generated
    /// under this view or an earlier one may have been used.
    pub expired_up_to: Option<id::View>,
    /// When this entry noticed the loss, by its own clock.
    #[serde(skip)]
    pub loss_noticed: Instant,
}

/// The response to a request for a copy of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CopyResponse {
    /// The copy.
    Complete(ShardRecords),
    /// The two entries have different views; ask again.
    ViewMismatch,
    /// This entry has no complete copy; ask the next source.
    Incomplete,
}

/// The state of a shard that is stored at this entry.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ShardState {
    /// All records are here, so that claims can be decided.
    Complete(ShardRecords),
    /// Waiting for a copy from one of these members; the first one is asked first.
    Filling(Vec<Member>),
}

/// The claims that one entry stores, by shard.
///
/// A claim takes constant time; a view change takes time linear in shards and members. There are at
/// most `max_records` records. A record expires after `retention`.
#[derive(Clone, Debug)]
pub struct Table {
    member: Member,
    retention: Duration,
    max_records: usize,
    view: id::View,
    shards: BTreeMap<Shard, ShardState>,
    /// Complete shards of the previous view that are stored at other entries now, for those to copy.
    previous_shards: BTreeMap<Shard, ShardRecords>,
    expiry_queue: VecDeque<(Instant, id::View, Key)>,
}

impl Table {
    /// Creates an empty table of the entry `member`, which stores at most `max_records` records, each
    /// for `retention`.
    #[must_use]
    pub fn new(member: Member, retention: Duration, max_records: usize) -> Self {
        Self {
            member,
            retention,
            max_records,
            view: id::View::default(),
            shards: BTreeMap::new(),
            previous_shards: BTreeMap::new(),
            expiry_queue: VecDeque::new(),
        }
    }

    /// Applies a view that has become active; `previous` determines which entries may have copies.
    ///
    /// A shard that stays at this entry stays complete. One that moves away is stored for one more
    /// view, so that its new replicas can copy it. A new one waits for a copy; if no replica of the
    /// previous view is left to copy from, the shard starts empty and the loss is recorded. In the
    /// first view, every shard starts empty and nothing is lost.
    pub fn apply_view(&mut self, roster: &Roster, previous: &Roster, now: Instant) {
        if roster.number <= self.view {
            return;
        }
        let old_view = self.view;
        self.view = roster.number;
        let mut old_shards = std::mem::take(&mut self.shards);
        for shard in (0..SHARD_COUNT).map(Shard) {
            let is_replica = roster
                .replicas(shard)
                .iter()
                .any(|replica| replica.host == self.member.host);
            if !is_replica {
                continue;
            }
            let may_retain = old_view == previous.number
                || (old_view.next() == previous.number && self.was_replica(previous, shard));
            let retained = old_shards
                .remove(&shard)
                .filter(|state| may_retain && matches!(state, ShardState::Complete(_)));
            let state =
                retained.unwrap_or_else(|| self.initial_state(shard, roster, previous, now));
            self.shards.insert(shard, state);
        }
        let was_up_to_date = old_view == previous.number;
        let complete = old_shards
            .into_iter()
            .filter_map(|(shard, state)| match state {
                ShardState::Complete(stored) if was_up_to_date => Some((shard, stored)),
                _ => None,
            });
        self.previous_shards = complete.collect();
    }

    /// Whether this entry was a replica of `shard` under `previous`, so that no claim could be granted
    /// without it.
    ///
    /// If so and it never activated that view, no claim was granted under it, and its copy is complete.
    fn was_replica(&self, previous: &Roster, shard: Shard) -> bool {
        let replicas = previous.replicas(shard);
        replicas.iter().any(|replica| {
            replica.host == self.member.host && replica.incarnation == self.member.incarnation
        })
    }

    /// The state of a shard that this entry did not have complete before: it waits for a copy, or is
    /// empty if there is none.
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
        let previous_replicas = previous.replicas(shard).into_iter();
        let sources: Vec<_> = previous_replicas
            .filter(|replica| roster.has(replica) && replica.host != self.member.host)
            .cloned()
            .collect();
        if sources.is_empty() {
            self.lost_state(now)
        } else {
            ShardState::Filling(sources)
        }
    }

    /// The state of a shard whose records are lost as of the current view.
    fn lost_state(&self, now: Instant) -> ShardState {
        ShardState::Complete(ShardRecords {
            lost_at: Some(self.view),
            loss_noticed: now,
            ..ShardRecords::default()
        })
    }

    /// Decides a claim, and stores its record if it is granted.
    pub fn claim(&mut self, claim: &Claim, now: Instant) -> Response {
        self.expire_records(now);
        if claim.view != self.view {
            return Response::ViewMismatch(self.view);
        }
        let full = self.expiry_queue.len() >= self.max_records;
        let Some(state) = self.shards.get_mut(&claim.key.shard(SHARD_COUNT)) else {
            return Response::ViewMismatch(self.view);
        };
        let ShardState::Complete(stored) = state else {
            return Response::Filling;
        };
        let earlier = stored.records.get(&claim.key);
        if let Some(earlier) = earlier.filter(|earlier| !earlier.is_reclaimable()) {
            return conflict_response(earlier, &claim.record);
        }
        if stored.lost_at.is_some() && now.since(stored.loss_noticed) > self.retention {
            stored.lost_at = None;
        }
        let generated_after = |lost: id::View| claim.stamp.is_some_and(|stamp| stamp >= lost);
        if claim.sole && stored.lost_at.is_some_and(|lost| !generated_after(lost)) {
            return Response::RecordsLost;
        }
        if claim
            .stamp
            .is_some_and(|stamp| stored.expired_up_to.is_some_and(|expired| stamp <= expired))
        {
            return Response::KeyTooOld;
        }
        if full {
            return Response::TableFull;
        }
        let mut record = claim.record.clone();
        record.written = now;
        stored.records.insert(claim.key, record);
        self.expiry_queue.push_back((now, self.view, claim.key));
        Response::Granted
    }

    /// The record of `key`, if it is stored here and its shard is complete.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Record> {
        match self.shards.get(&key.shard(SHARD_COUNT)) {
            Some(ShardState::Complete(stored)) => stored.records.get(&key),
            _ => None,
        }
    }

    /// Records the final status of `key`, if the report comes from the holder of the claim.
    pub fn record_end(&mut self, key: Key, ticket: id::Ticket, holder: &id::Host, status: Status) {
        let Some(ShardState::Complete(stored)) = self.shards.get_mut(&key.shard(SHARD_COUNT))
        else {
            return;
        };
        let record = stored.records.get_mut(&key);
        let own_record =
            record.filter(|record| record.ticket == ticket && &record.holder == holder);
        if let Some(record) = own_record {
            record.status = status;
        }
    }

    /// Drops the records that are older than the retention.
    fn expire_records(&mut self, now: Instant) {
        while self
            .expiry_queue
            .front()
            .is_some_and(|first| now.since(first.0) > self.retention)
        {
            let Some((written, view, key)) = self.expiry_queue.pop_front() else {
                return;
            };
            let Some(ShardState::Complete(stored)) = self.shards.get_mut(&key.shard(SHARD_COUNT))
            else {
                continue;
            };
            let is_same_record = stored
                .records
                .get(&key)
                .is_some_and(|record| record.written == written);
            if is_same_record && stored.records.remove(&key).is_some() {
                stored.expired_up_to = stored.expired_up_to.max(Some(view));
            }
        }
    }

    /// The number of stored records.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.expiry_queue.len()
    }
}

/// # Copies of shards
impl Table {
    /// The shards that wait for a copy, each with the member to ask for it.
    #[must_use]
    pub fn pending_copies(&self) -> Vec<(Shard, Member)> {
        let filling = self.shards.iter().filter_map(|(shard, state)| match state {
            ShardState::Filling(sources) => sources.first().map(|member| (*shard, member.clone())),
            ShardState::Complete(_) => None,
        });
        filling.collect()
    }

    /// The copy of `shard` for another entry, which has `view`.
    #[must_use]
    pub fn copy_shard(&self, shard: Shard, view: id::View) -> CopyResponse {
        if view != self.view {
            return CopyResponse::ViewMismatch;
        }
        match self.shards.get(&shard) {
            Some(ShardState::Complete(stored)) => CopyResponse::Complete(stored.clone()),
            Some(ShardState::Filling(_)) => CopyResponse::Incomplete,
            None => {
                let previous = self.previous_shards.get(&shard);
                previous.map_or(CopyResponse::Incomplete, |stored| {
                    CopyResponse::Complete(stored.clone())
                })
            }
        }
    }

    /// Installs a copy of `shard` that another entry sent under `view`.
    pub fn install_copy(
        &mut self,
        shard: Shard,
        view: id::View,
        mut copy: ShardRecords,
        now: Instant,
    ) {
        let filling = matches!(self.shards.get(&shard), Some(ShardState::Filling(_)));
        if view != self.view || !filling {
            return;
        }
        copy.loss_noticed = now;
        for (key, record) in &mut copy.records {
            record.written = now;
            self.expiry_queue.push_back((now, view, *key));
        }
        self.shards.insert(shard, ShardState::Complete(copy));
    }

    /// Moves on from `source` to the next source of `shard`; if none is left, records the loss.
    pub fn skip_source(&mut self, shard: Shard, source: &id::Host, now: Instant) {
        let lost = self.lost_state(now);
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        let ShardState::Filling(sources) = state else {
            return;
        };
        sources.retain(|member| &member.host != source);
        if sources.is_empty() {
            *state = lost;
        }
    }
}

/// The response to a claim with the record `claimed` for a key that has the record `earlier`.
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

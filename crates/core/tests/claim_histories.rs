//! Claims under crashes, restarts, late views and copies of shards, in seeded random histories: a
//! key whose request must never run twice is dispatched at most once.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts far below the precision of the target types"
)]

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use curlewlift_core::claim::Claim;
use curlewlift_core::claim::CopyResponse;
use curlewlift_core::claim::Record;
use curlewlift_core::claim::Response;
use curlewlift_core::claim::SHARD_COUNT;
use curlewlift_core::claim::Status;
use curlewlift_core::claim::Table;
use curlewlift_core::clock::Instant;
use curlewlift_core::code::Outcome;
use curlewlift_core::id;
use curlewlift_core::view::Member;
use curlewlift_core::view::Roster;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use support::members::member;

const ENTRY_COUNT: usize = 5;
const HISTORY_COUNT: u64 = 500;
const STEPS_PER_HISTORY: usize = 600;

/// A rule that is broken on purpose, to show that the checks notice it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flaw {
    None,
    /// A request is dispatched with the grant of one replica only.
    OneReplica,
    /// A replica that still waits for its copy grants claims.
    EarlyCopy,
}

struct Entry {
    member: Member,
    table: Table,
    /// The view under which it acts.
    active_view: Option<id::View>,
    alive: bool,
}

/// A claim that is being sent to the replicas one after the other.
#[derive(Clone)]
struct PendingClaim {
    holder: usize,
    incarnation: u64,
    ticket: id::Ticket,
    key: id::Key,
    view: id::View,
    granted: usize,
}

struct History {
    entries: Vec<Entry>,
    roster: Roster,
    previous: Roster,
    active: bool,
    pending_claims: Vec<PendingClaim>,
    dispatched: BTreeMap<id::Key, u32>,
    incarnations: u64,
    tickets: u64,
    flaw: Flaw,
}

fn table(member: &Member) -> Table {
    Table::new(member.clone(), Duration::from_secs(1_000), 10_000)
}

impl History {
    fn new(flaw: Flaw) -> Self {
        let entries = (0..ENTRY_COUNT).map(|index| {
            let member = member(index, index as u64);
            Entry {
                table: table(&member),
                member,
                active_view: None,
                alive: true,
            }
        });
        let mut history = Self {
            entries: entries.collect(),
            roster: Roster::default(),
            previous: Roster::default(),
            active: true,
            pending_claims: Vec::new(),
            dispatched: BTreeMap::new(),
            incarnations: 100,
            tickets: 0,
            flaw,
        };
        history.propose();
        history
    }

    fn step(&mut self, g: &mut Gen) {
        let pick = usize::arbitrary(g);
        let entry = pick % ENTRY_COUNT;
        match u8::arbitrary(g) {
            0..=39 => self.start_claim(entry, id::Key((pick / ENTRY_COUNT % 6) as u128)),
            40..=139 => self.advance_claim(pick),
            140..=141 => self.stop_entry(entry),
            142..=144 => self.restart(entry),
            145..=164 => self.propose(),
            165..=209 => self.activate_view(entry),
            _ => self.copy_shard(entry, pick),
        }
    }

    /// A caller sends a request with `key` to an entry, which starts a claim.
    fn start_claim(&mut self, holder: usize, key: id::Key) {
        let entry = &self.entries[holder];
        let Some(view) = entry.active_view.filter(|_| entry.alive) else {
            return;
        };
        self.tickets += 1;
        self.pending_claims.push(PendingClaim {
            holder,
            incarnation: entry.member.incarnation,
            ticket: id::Ticket(self.tickets),
            key,
            view,
            granted: 0,
        });
    }

    /// Sends a claim to its next replica, or dispatches the request if all have granted it.
    fn advance_claim(&mut self, pick: usize) {
        if self.pending_claims.is_empty() {
            return;
        }
        let index = pick % self.pending_claims.len();
        let pending = self.pending_claims.swap_remove(index);
        let holder = &self.entries[pending.holder];
        let holder_runs = holder.alive && holder.member.incarnation == pending.incarnation;
        if !holder_runs || holder.active_view != Some(pending.view) {
            return;
        }
        let replicas = self.roster.replicas(pending.key.shard(SHARD_COUNT));
        let replicas_needed = if self.flaw == Flaw::OneReplica {
            1
        } else {
            replicas.len()
        };
        if pending.granted == replicas_needed {
            *self.dispatched.entry(pending.key).or_default() += 1;
            return;
        }
        let host = replicas[pending.granted].host.clone();
        if self.send_claim(&host, &pending) {
            self.pending_claims.push(PendingClaim {
                granted: pending.granted + 1,
                ..pending
            });
        }
    }

    fn send_claim(&mut self, host: &id::Host, pending: &PendingClaim) -> bool {
        let holder = self.entries[pending.holder].member.host.clone();
        let entry = self
            .entries
            .iter_mut()
            .find(|entry| &entry.member.host == host);
        let Some(entry) = entry.filter(|entry| entry.alive && entry.active_view.is_some()) else {
            return false;
        };
        let claim = Claim {
            view: pending.view,
            key: pending.key,
            record: Record {
                digest: 1,
                holder,
                incarnation: pending.incarnation,
                ticket: pending.ticket,
                status: Status::Open,
                written: Instant::default(),
            },
            stamp: None,
            sole: true,
        };
        match entry.table.claim(&claim, Instant::default()) {
            Response::Granted => true,
            Response::Filling => self.flaw == Flaw::EarlyCopy,
            _ => false,
        }
    }

    fn stop_entry(&mut self, index: usize) {
        self.entries[index].alive = false;
        self.entries[index].active_view = None;
    }

    fn restart(&mut self, index: usize) {
        self.incarnations += 1;
        let member = member(index, self.incarnations);
        self.entries[index] = Entry {
            table: table(&member),
            member,
            active_view: None,
            alive: true,
        };
    }

    /// Proposes a new view once the former one is active. All entries stop acting under the former
    /// one at once, as the leases guarantee.
    fn propose(&mut self) {
        let members = self.entries.iter().filter(|entry| entry.alive);
        let members: Vec<_> = members.map(|entry| entry.member.clone()).collect();
        if !self.active || members == self.roster.members {
            return;
        }
        let number = self.roster.number.next();
        let roster = Roster { number, members };
        self.previous = std::mem::replace(&mut self.roster, roster);
        for entry in &mut self.entries {
            entry.active_view = None;
        }
        self.active = false;
    }

    /// An entry learns that the view is active. Usually the next view comes only when every live
    /// entry has learned it.
    fn activate_view(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        if entry.alive && self.roster.has(&entry.member) {
            entry
                .table
                .apply_view(&self.roster, &self.previous, Instant::default());
            entry.active_view = Some(self.roster.number);
        }
        // Sometimes the next view comes before all entries have activated this one.
        let mut live = self.entries.iter().filter(|entry| entry.alive);
        let enough = live
            .clone()
            .filter(|entry| entry.active_view.is_some())
            .count()
            >= 2;
        self.active = live.all(|entry| entry.active_view.is_some()) || (enough && index == 0);
    }

    fn copy_shard(&mut self, index: usize, pick: usize) {
        let entry = &self.entries[index];
        if !entry.alive || entry.active_view.is_none() {
            return;
        }
        let mut pending_copies = entry.table.pending_copies();
        pending_copies.retain(|(shard, _)| shard.0 < 6);
        if pending_copies.is_empty() {
            return;
        }
        let (shard, source) = pending_copies[pick % pending_copies.len()].clone();
        let view = self.roster.number;
        let source_entry = self
            .entries
            .iter()
            .find(|entry| entry.member.host == source.host);
        let Some(source_entry) = source_entry.filter(|entry| entry.alive) else {
            return;
        };
        let response = source_entry.table.copy_shard(shard, view);
        let table = &mut self.entries[index].table;
        match response {
            CopyResponse::Complete(records) => {
                table.install_copy(shard, view, records, Instant::default());
            }
            CopyResponse::Incomplete => table.skip_source(shard, &source.host, Instant::default()),
            CopyResponse::ViewMismatch => {}
        }
    }
}

fn run(seed: u64, flaw: Flaw) -> Result<u32, String> {
    let mut g = Gen::from_size_and_seed(100, seed);
    let mut history = History::new(flaw);
    for number in 0..STEPS_PER_HISTORY {
        history.step(&mut g);
        if let Some((key, _)) = history.dispatched.iter().find(|(_, count)| **count > 1) {
            return Err(format!(
                "seed {seed} step {number}: {key} was dispatched twice"
            ));
        }
    }
    Ok(history.dispatched.len() as u32)
}

#[test]
fn dispatched_once() {
    let dispatched: u32 = (0..HISTORY_COUNT)
        .map(|seed| run(seed, Flaw::None).expect("no key dispatched twice"))
        .sum();
    assert!(
        u64::from(dispatched) > HISTORY_COUNT,
        "the histories dispatched too few requests: {dispatched}"
    );
}

#[test]
fn finds_flaws() {
    for flaw in [Flaw::OneReplica, Flaw::EarlyCopy] {
        let found = (0..HISTORY_COUNT).find(|seed| run(*seed, flaw).is_err());
        println!(
            "{flaw:?}: seed {}",
            found.expect("a history that detects it")
        );
    }
}

fn roster(number: u64, members: &[&Member]) -> Roster {
    Roster {
        number: id::View(number),
        members: members.iter().map(|member| (*member).clone()).collect(),
    }
}

fn claim(view: u64, stamp: Option<u64>) -> Claim {
    Claim {
        view: id::View(view),
        key: id::Key(5),
        record: Record {
            digest: 1,
            holder: "e9".parse().expect("valid name"),
            incarnation: 1,
            ticket: id::Ticket(1),
            status: Status::Open,
            written: Instant::default(),
        },
        stamp: stamp.map(id::View),
        sole: true,
    }
}

#[test]
fn lost_records() {
    let (old, new) = (member(0, 0), member(1, 1));
    let mut table = table(&new);
    let now = Instant::default();
    table.apply_view(&roster(2, &[&new]), &roster(1, &[&old]), now);
    assert_eq!(
        table.claim(&claim(2, None), now),
        Response::RecordsLost,
        "without a stamp the request may have run"
    );
    assert_eq!(
        table.claim(&claim(2, Some(1)), now),
        Response::RecordsLost,
        "the key is older than the loss"
    );
    assert_eq!(
        table.claim(&claim(2, Some(2)), now),
        Response::Granted,
        "the key is newer than the loss"
    );
}

#[test]
fn expired_records() {
    let own = member(0, 0);
    let retention = Duration::from_secs(10);
    let mut table = Table::new(own.clone(), retention, 100);
    let now = Instant::default();
    table.apply_view(&roster(1, &[&own]), &Roster::default(), now);
    assert_eq!(table.claim(&claim(1, Some(1)), now), Response::Granted);
    table.apply_view(&roster(2, &[&own]), &roster(1, &[&own]), now);
    let later = now + retention * 2;
    assert_eq!(
        table.claim(&claim(2, Some(1)), later),
        Response::KeyTooOld,
        "the key is as old as an expired record"
    );
    assert_eq!(table.record_count(), 0);
    assert_eq!(table.claim(&claim(2, Some(2)), later), Response::Granted);
}

#[test]
fn unrun_key_reclaimed() {
    let own = member(0, 0);
    let mut table = table(&own);
    let now = Instant::default();
    table.apply_view(&roster(1, &[&own]), &Roster::default(), now);
    let first = claim(1, None);
    assert_eq!(table.claim(&first, now), Response::Granted);
    let mut second = first.clone();
    second.record.ticket = id::Ticket(2);
    assert!(matches!(
        table.claim(&second, now),
        Response::AlreadyClaimed(_)
    ));
    let outcome = Outcome::NotRun;
    let fate = Status::Ended {
        outcome,
        code: 3_001,
    };
    table.record_end(first.key, first.record.ticket, &first.record.holder, fate);
    assert_eq!(
        table.claim(&second, now),
        Response::Granted,
        "the key of a request that did not run can be claimed again"
    );
}

#[test]
fn moved_shards() {
    // The new entry is in the same data hall as the old one and takes over shards from it.
    let (old, new) = (member(0, 0), member(3, 1));
    let others = [member(1, 2), member(2, 3)];
    let now = Instant::default();
    let first = roster(1, &[&old, &others[0], &others[1]]);
    let second = roster(2, &[&old, &others[0], &others[1], &new]);
    let mut old_table = table(&old);
    old_table.apply_view(&first, &Roster::default(), now);
    for key in 0..200 {
        let mut claim = claim(1, None);
        claim.key = id::Key(key);
        assert_eq!(old_table.claim(&claim, now), Response::Granted);
    }
    old_table.apply_view(&second, &first, now);
    let mut new_table = table(&new);
    new_table.apply_view(&second, &first, now);
    let pending_copies = new_table.pending_copies();
    assert!(
        pending_copies.len() > 50,
        "the new entry takes over too few shards: {}",
        pending_copies.len()
    );
    for (shard, _) in pending_copies {
        let CopyResponse::Complete(records) = old_table.copy_shard(shard, id::View(2)) else {
            panic!("shard {shard} is lost although the old entry has a copy");
        };
        new_table.install_copy(shard, id::View(2), records, now);
    }
    let mut retry = claim(2, None);
    retry.record.holder = "e8".parse().expect("valid name");
    for key in 0..200 {
        retry.key = id::Key(key);
        let answer = new_table.claim(&retry, now);
        assert!(
            matches!(
                answer,
                Response::AlreadyClaimed(_) | Response::ViewMismatch(_)
            ),
            "{answer:?}"
        );
    }
}

//! Seeded histories of claims under deaths, restarts, late views and copies: a key that may never
//! be repeated is dispatched at most once (rows D1, D2, D10).

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures for people, far below where it matters"
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

const ENTRIES: usize = 5;
const COUNT: u64 = 500;
const STEPS: usize = 600;

/// Rules that are broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flaw {
    None,
    /// One replica is enough.
    OneReplica,
    /// A replica that is being filled answers as if it were whole.
    EarlyCopy,
}

struct Entry {
    member: Member,
    table: Table,
    /// Under which view it acts.
    acting: Option<id::View>,
    alive: bool,
}

/// A claim on its way.
#[derive(Clone)]
struct Flight {
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
    flights: Vec<Flight>,
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
        let entries = (0..ENTRIES).map(|place| {
            let member = member(place, place as u64);
            Entry {
                table: table(&member),
                member,
                acting: None,
                alive: true,
            }
        });
        let mut history = Self {
            entries: entries.collect(),
            roster: Roster::default(),
            previous: Roster::default(),
            active: true,
            flights: Vec::new(),
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
        let entry = pick % ENTRIES;
        match u8::arbitrary(g) {
            0..=39 => self.begin(entry, id::Key((pick / ENTRIES % 6) as u128)),
            40..=139 => self.fly(pick),
            140..=141 => self.kill(entry),
            142..=144 => self.restart(entry),
            145..=164 => self.propose(),
            165..=209 => self.take_up(entry),
            _ => self.copy(entry, pick),
        }
    }

    /// A caller sends a key to an entry.
    fn begin(&mut self, holder: usize, key: id::Key) {
        let entry = &self.entries[holder];
        let Some(view) = entry.acting.filter(|_| entry.alive) else {
            return;
        };
        self.tickets += 1;
        self.flights.push(Flight {
            holder,
            incarnation: entry.member.incarnation,
            ticket: id::Ticket(self.tickets),
            key,
            view,
            granted: 0,
        });
    }

    /// One more replica is asked, or the request goes out.
    fn fly(&mut self, pick: usize) {
        if self.flights.is_empty() {
            return;
        }
        let place = pick % self.flights.len();
        let flight = self.flights.swap_remove(place);
        let holder = &self.entries[flight.holder];
        let lives = holder.alive && holder.member.incarnation == flight.incarnation;
        if !lives || holder.acting != Some(flight.view) {
            return;
        }
        let replicas = self.roster.replicas(flight.key.shard(SHARD_COUNT));
        let wanted = if self.flaw == Flaw::OneReplica {
            1
        } else {
            replicas.len()
        };
        if flight.granted == wanted {
            *self.dispatched.entry(flight.key).or_default() += 1;
            return;
        }
        let host = replicas[flight.granted].host.clone();
        if self.ask(&host, &flight) {
            self.flights.push(Flight {
                granted: flight.granted + 1,
                ..flight
            });
        }
    }

    fn ask(&mut self, host: &id::Host, flight: &Flight) -> bool {
        let holder = self.entries[flight.holder].member.host.clone();
        let entry = self
            .entries
            .iter_mut()
            .find(|entry| &entry.member.host == host);
        let Some(entry) = entry.filter(|entry| entry.alive && entry.acting.is_some()) else {
            return false;
        };
        let claim = Claim {
            view: flight.view,
            key: flight.key,
            record: Record {
                digest: 1,
                holder,
                incarnation: flight.incarnation,
                ticket: flight.ticket,
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

    fn kill(&mut self, place: usize) {
        self.entries[place].alive = false;
        self.entries[place].acting = None;
    }

    fn restart(&mut self, place: usize) {
        self.incarnations += 1;
        let member = member(place, self.incarnations);
        self.entries[place] = Entry {
            table: table(&member),
            member,
            acting: None,
            alive: true,
        };
    }

    /// A new view, once the former one is active; who acts stops at once, as the barrier has it.
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
            entry.acting = None;
        }
        self.active = false;
    }

    /// An entry learns that the view is active; the view stays until every live one has.
    fn take_up(&mut self, place: usize) {
        let entry = &mut self.entries[place];
        if entry.alive && self.roster.has(&entry.member) {
            entry
                .table
                .apply_view(&self.roster, &self.previous, Instant::default());
            entry.acting = Some(self.roster.number);
        }
        // Now and then the next view comes before all have taken this one up.
        let mut live = self.entries.iter().filter(|entry| entry.alive);
        let most = live.clone().filter(|entry| entry.acting.is_some()).count() >= 2;
        self.active = live.all(|entry| entry.acting.is_some()) || (most && place == 0);
    }

    fn copy(&mut self, place: usize, pick: usize) {
        let entry = &self.entries[place];
        if !entry.alive || entry.acting.is_none() {
            return;
        }
        let mut wanted = entry.table.pending_copies();
        wanted.retain(|(shard, _)| shard.0 < 6);
        if wanted.is_empty() {
            return;
        }
        let (shard, source) = wanted[pick % wanted.len()].clone();
        let view = self.roster.number;
        let source_entry = self
            .entries
            .iter()
            .find(|entry| entry.member.host == source.host);
        let Some(source_entry) = source_entry.filter(|entry| entry.alive) else {
            return;
        };
        let copy = source_entry.table.copy_shard(shard, view);
        let table = &mut self.entries[place].table;
        match copy {
            CopyResponse::Complete(slot) => {
                table.install_copy(shard, view, slot, Instant::default());
            }
            CopyResponse::Incomplete => table.skip_source(shard, &source.host, Instant::default()),
            CopyResponse::ViewMismatch => {}
        }
    }
}

fn run(seed: u64, flaw: Flaw) -> Result<u32, String> {
    let mut g = Gen::from_size_and_seed(100, seed);
    let mut history = History::new(flaw);
    for number in 0..STEPS {
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
fn once_only() {
    let dispatched: u32 = (0..COUNT)
        .map(|seed| run(seed, Flaw::None).expect("once"))
        .sum();
    assert!(
        u64::from(dispatched) > COUNT,
        "the histories do something: {dispatched}"
    );
}

#[test]
fn finds_flaws() {
    for flaw in [Flaw::OneReplica, Flaw::EarlyCopy] {
        let found = (0..COUNT).find(|seed| run(*seed, flaw).is_err());
        println!("{flaw:?}: seed {}", found.expect("it is found"));
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
            holder: "e9".parse().expect("a name"),
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
        "it may have run"
    );
    assert_eq!(
        table.claim(&claim(2, Some(1)), now),
        Response::RecordsLost,
        "drawn before the loss"
    );
    assert_eq!(
        table.claim(&claim(2, Some(2)), now),
        Response::Granted,
        "drawn after the loss"
    );
}

#[test]
fn dropped_records() {
    let own = member(0, 0);
    let keep = Duration::from_secs(10);
    let mut table = Table::new(own.clone(), keep, 100);
    let now = Instant::default();
    table.apply_view(&roster(1, &[&own]), &Roster::default(), now);
    assert_eq!(table.claim(&claim(1, Some(1)), now), Response::Granted);
    table.apply_view(&roster(2, &[&own]), &roster(1, &[&own]), now);
    let later = now + keep * 2;
    assert_eq!(
        table.claim(&claim(2, Some(1)), later),
        Response::KeyTooOld,
        "row D11"
    );
    assert_eq!(table.record_count(), 0);
    assert_eq!(table.claim(&claim(2, Some(2)), later), Response::Granted);
}

#[test]
fn free_again() {
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
        "not run: it may be tried again"
    );
}

#[test]
fn displaced_copies() {
    // The second entry stands in the first one's hall and takes shards over from it.
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
    let mut filled = table(&new);
    filled.apply_view(&second, &first, now);
    let wanted = filled.pending_copies();
    assert!(wanted.len() > 50, "it takes shards over: {}", wanted.len());
    for (shard, _) in wanted {
        let CopyResponse::Complete(slot) = old_table.copy_shard(shard, id::View(2)) else {
            panic!("shard {shard} is lost although its copy is there");
        };
        filled.install_copy(shard, id::View(2), slot, now);
    }
    let mut again = claim(2, None);
    again.record.holder = "e8".parse().expect("a name");
    for key in 0..200 {
        again.key = id::Key(key);
        let answer = filled.claim(&again, now);
        assert!(
            matches!(
                answer,
                Response::AlreadyClaimed(_) | Response::ViewMismatch(_)
            ),
            "{answer:?}"
        );
    }
}

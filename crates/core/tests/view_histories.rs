//! Leases and views under late messages, crashes, drifting clocks and new leaders, in seeded random
//! histories: no two entries may ever act under different views at the same time.

mod support;

use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::lang;
use curlewlift_core::lang::Statement;
use curlewlift_core::state::Command;
use curlewlift_core::state::Machine;
use curlewlift_core::state::Record;
use curlewlift_core::view::Grant;
use curlewlift_core::view::Grantor;
use curlewlift_core::view::Holder;
use curlewlift_core::view::LeaseTiming;
use curlewlift_core::view::Renewal;
use curlewlift_core::view::Roster;
use curlewlift_core::view::Update;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use support::members::member;

const ENTRY_COUNT: usize = 5;
const HISTORY_COUNT: u64 = 1_000;
const STEPS_PER_HISTORY: usize = 1_500;

/// A rule that is broken on purpose, to show that the checks notice it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Flaw {
    None,
    IgnoreLease,
}

/// A clock that runs slightly fast or slow.
#[derive(Clone, Copy)]
struct DriftingClock(u64);

impl DriftingClock {
    /// Its time after `micros` of real time: 98 to 102 percent of that.
    fn at(self, micros: u64) -> Instant {
        Instant(micros / 1_000 * (980 + self.0 % 41))
    }
}

struct Entry {
    holder: Holder,
    clock: DriftingClock,
    alive: bool,
}

enum Message {
    Renewal(usize, u64, Renewal, Instant),
    Grant(usize, u64, Grant, Instant),
}

struct History {
    machine: Machine,
    grantor: Grantor,
    clock: DriftingClock,
    entries: Vec<Entry>,
    in_flight: Vec<Message>,
    time: u64,
    incarnations: u64,
    flaw: Flaw,
    acting_count: u64,
}

fn machine() -> Machine {
    let mut machine = Machine::default();
    for index in 0..ENTRY_COUNT {
        let line = format!("create host e{index} role=entry hall=a rpc=127.0.0.1:{index}");
        let command = Command {
            operator: "root".parse().expect("valid name"),
            number: index as u64,
            line,
        };
        machine.apply(&Record::Command(command)).expect("a host");
    }
    machine
}

impl History {
    fn new(flaw: Flaw) -> Self {
        let entry = |index: usize| Entry {
            holder: Holder::new(member(index, index as u64)),
            clock: DriftingClock(index as u64 * 10),
            alive: true,
        };
        Self {
            machine: machine(),
            grantor: Grantor::new(LeaseTiming::default(), Instant::default()),
            clock: DriftingClock(20),
            entries: (0..ENTRY_COUNT).map(entry).collect(),
            in_flight: Vec::new(),
            time: 1,
            incarnations: 100,
            flaw,
            acting_count: 0,
        }
    }

    fn step(&mut self, g: &mut Gen) {
        let pick = usize::arbitrary(g);
        match u8::arbitrary(g) {
            0..=59 => self.send_renewal(pick % ENTRY_COUNT),
            60..=189 => self.deliver(pick),
            190..=229 => self.time += 1_000 * (pick as u64 % 200),
            230..=231 => self.entries[pick % ENTRY_COUNT].alive = false,
            232..=234 => self.restart(pick % ENTRY_COUNT),
            235 => self.grantor = Grantor::new(LeaseTiming::default(), self.clock.at(self.time)),
            236 => {
                let index = pick % self.in_flight.len().max(1);
                if index < self.in_flight.len() {
                    self.in_flight.remove(index);
                }
            }
            _ => self.propose_roster(),
        }
    }

    fn send_renewal(&mut self, index: usize) {
        let entry = &self.entries[index];
        if entry.alive {
            let sent_at = entry.clock.at(self.time);
            let incarnation = entry.holder.get_member().incarnation;
            self.in_flight.push(Message::Renewal(
                index,
                incarnation,
                entry.holder.renewal(),
                sent_at,
            ));
        }
    }

    fn deliver(&mut self, pick: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = if pick.is_multiple_of(8) {
            pick / 8 % self.in_flight.len()
        } else {
            0
        };
        match self.in_flight.remove(index) {
            Message::Renewal(entry, incarnation, renewal, sent_at) => {
                let now = self.clock.at(self.time);
                let grant = self
                    .grantor
                    .renew(&renewal, &self.machine, now)
                    .expect("it is known");
                self.in_flight
                    .push(Message::Grant(entry, incarnation, grant, sent_at));
            }
            Message::Grant(entry, incarnation, grant, sent_at) => {
                let entry = &mut self.entries[entry];
                if entry.alive && entry.holder.get_member().incarnation == incarnation {
                    entry.holder.on_grant(grant, sent_at);
                }
            }
        }
    }

    /// Restarts the process of the host, whether the former one had ended or not.
    fn restart(&mut self, index: usize) {
        self.incarnations += 1;
        let entry = &mut self.entries[index];
        entry.holder = Holder::new(member(index, self.incarnations));
        entry.alive = true;
    }

    fn propose_roster(&mut self) {
        let now = self.clock.at(self.time);
        if let Some(roster) = self.grantor.propose_roster(&self.machine, now) {
            self.machine
                .apply(&Record::Roster(roster))
                .expect("a view is taken");
        }
    }

    fn usable_roster_of(&self, entry: &Entry) -> Option<Arc<Roster>> {
        let now = match self.flaw {
            Flaw::None => entry.clock.at(self.time),
            Flaw::IgnoreLease => Instant::default(),
        };
        entry.holder.usable_roster(now).cloned()
    }

    fn check(&mut self) -> Result<(), String> {
        let alive = self.entries.iter().filter(|entry| entry.alive);
        let views: Vec<_> = alive
            .filter_map(|entry| self.usable_roster_of(entry))
            .collect();
        self.acting_count += views.len() as u64;
        let same = views
            .windows(2)
            .all(|pair| pair[0].number == pair[1].number);
        let numbers: Vec<_> = views.iter().map(|roster| roster.number.0).collect();
        if same {
            Ok(())
        } else {
            Err(format!("entries act under different views: {numbers:?}"))
        }
    }
}

fn run(seed: u64, flaw: Flaw) -> Result<u64, String> {
    let mut g = Gen::from_size_and_seed(100, seed);
    let mut history = History::new(flaw);
    for number in 0..STEPS_PER_HISTORY {
        history.step(&mut g);
        history
            .check()
            .map_err(|why| format!("step {number}: {why}"))?;
    }
    Ok(history.acting_count)
}

#[test]
fn single_active_view() {
    let acting_count: u64 = (0..HISTORY_COUNT)
        .map(|seed| run(seed, Flaw::None).expect("a single active view"))
        .sum();
    assert!(
        acting_count > HISTORY_COUNT * STEPS_PER_HISTORY as u64 / 4,
        "the entries acted too rarely: {acting_count}"
    );
}

#[test]
fn finds_ignored_lease() {
    let found = (0..HISTORY_COUNT).find(|seed| run(*seed, Flaw::IgnoreLease).is_err());
    println!(
        "ignored lease: seed {}",
        found.expect("a history that detects it")
    );
}

#[test]
fn lease_expires() {
    let mut holder = Holder::new(member(0, 1));
    let roster = Roster {
        number: curlewlift_core::id::View(1),
        members: vec![member(0, 1)],
    };
    let grant = Grant {
        view: roster.number,
        roster: Some(roster),
        previous: None,
        active: true,
        lease: Some(Duration::from_secs(2)),
        update: Update::None,
    };
    let sent_at = Instant(1_000_000);
    holder.on_grant(grant, sent_at);
    assert!(
        holder
            .usable_roster(sent_at + Duration::from_millis(1_999))
            .is_some()
    );
    assert!(
        holder
            .usable_roster(sent_at + Duration::from_secs(2))
            .is_none(),
        "the lease must run from the time of the request"
    );
}

#[test]
fn no_older_revision() {
    let Ok(Statement::Change(change)) = lang::parse("create tier a rank=0") else {
        panic!("a change");
    };
    let first = curlewlift_core::config::Snapshot::default()
        .apply(&change)
        .expect("applied");
    let Ok(Statement::Change(change)) = lang::parse("create tier b rank=1") else {
        panic!("a change");
    };
    let second = first.apply(&change).expect("applied");
    let mut holder = Holder::new(member(0, 1));
    for snapshot in [second.clone(), first] {
        let grant = Grant {
            roster: None,
            previous: None,
            view: curlewlift_core::id::View(0),
            active: false,
            lease: None,
            update: Update::Snapshot(Arc::new(snapshot)),
        };
        holder.on_grant(grant, Instant(1));
    }
    assert_eq!(
        holder.get_snapshot().as_ref(),
        &second,
        "a late response replaced a newer configuration"
    );
}

#[test]
fn update_by_steps() {
    let mut machine = machine();
    let mut grantor = Grantor::new(LeaseTiming::default(), Instant::default());
    let mut holder = Holder::new(member(0, 1));
    for number in 0..400 {
        let command = Command {
            operator: "root".parse().expect("valid name"),
            number: 1_000 + number,
            line: format!("create service s{number} model=m{number}"),
        };
        machine.apply(&Record::Command(command)).expect("a change");
        if number % 7 == 0 || number > 390 {
            let now = Instant(number);
            let grant = grantor
                .renew(&holder.renewal(), &machine, now)
                .expect("it is known");
            let is_snapshot = matches!(grant.update, Update::Snapshot(_));
            assert_eq!(
                is_snapshot,
                number == 0,
                "all but the first update must be steps"
            );
            holder.on_grant(grant.clone(), now);
            holder.on_grant(grant, now);
            assert_eq!(holder.get_snapshot(), machine.get_snapshot());
        }
    }
    let mut late_holder = Holder::new(member(1, 2));
    let grant = grantor
        .renew(&late_holder.renewal(), &machine, Instant(500))
        .expect("it is known");
    late_holder.on_grant(grant, Instant(500));
    assert_eq!(late_holder.get_snapshot(), machine.get_snapshot());
}

#[test]
fn activated_before_next() {
    let mut machine = machine();
    let mut grantor = Grantor::new(LeaseTiming::default(), Instant::default());
    let mut holders: Vec<_> = (0..3).map(|index| Holder::new(member(index, 1))).collect();
    let renew = |grantor: &mut Grantor, holder: &mut Holder, machine: &Machine, now: u64| {
        let grant = grantor.renew(&holder.renewal(), machine, Instant(now));
        holder.on_grant(grant.expect("it is known"), Instant(now));
    };
    let propose = |grantor: &mut Grantor, machine: &mut Machine, now: u64| {
        let next = grantor.propose_roster(machine, Instant(now));
        let proposed = next.is_some();
        if let Some(roster) = next {
            machine
                .apply(&Record::Roster(roster))
                .expect("a view is taken");
        }
        proposed
    };
    renew(&mut grantor, &mut holders[0], &machine, 1);
    assert!(propose(&mut grantor, &mut machine, 2));
    renew(&mut grantor, &mut holders[1], &machine, 3);
    assert!(
        !propose(&mut grantor, &mut machine, 4),
        "no new view before the first entry has activated its view"
    );
    renew(&mut grantor, &mut holders[0], &machine, 5);
    assert!(
        !propose(&mut grantor, &mut machine, 6),
        "no new view before the first entry has reported the activation"
    );
    renew(&mut grantor, &mut holders[0], &machine, 7);
    assert!(propose(&mut grantor, &mut machine, 8));
    for now in 9..12 {
        renew(&mut grantor, &mut holders[0], &machine, now);
        renew(&mut grantor, &mut holders[1], &machine, now);
    }
    holders[1].set_shards_complete(false);
    renew(&mut grantor, &mut holders[1], &machine, 20);
    renew(&mut grantor, &mut holders[2], &machine, 21);
    assert!(
        !propose(&mut grantor, &mut machine, 22),
        "no new view while an entry has incomplete shards"
    );
    let after_expiry = 2_200_000;
    renew(&mut grantor, &mut holders[1], &machine, after_expiry);
    assert!(
        propose(&mut grantor, &mut machine, after_expiry + 1),
        "a lost member must be replaced although shards are incomplete"
    );
}

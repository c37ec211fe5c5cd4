//! Seeded histories of leases under late messages, deaths, drifting clocks and new leaders: no two
//! entries ever act under two views at once (rows M3, M6, M7, S10).

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
use curlewlift_core::view::Lease;
use curlewlift_core::view::Renewal;
use curlewlift_core::view::Roster;
use curlewlift_core::view::Update;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use support::members::member;

const ENTRIES: usize = 5;
const COUNT: u64 = 1_000;
const STEPS: usize = 1_500;

/// Whether a holder that acts after its lease is let through.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Flaw {
    None,
    IgnoreLease,
}

/// A clock that runs a little fast or slow.
#[derive(Clone, Copy)]
struct Drift(u64);

impl Drift {
    /// What it shows at `micros` of true time: 98 to 102 in a hundred.
    fn at(self, micros: u64) -> Instant {
        Instant(micros / 1_000 * (980 + self.0 % 41))
    }
}

struct Entry {
    holder: Holder,
    clock: Drift,
    alive: bool,
}

enum Mail {
    Renewal(usize, u64, Renewal, Instant),
    Grant(usize, u64, Grant, Instant),
}

struct History {
    machine: Machine,
    grantor: Grantor,
    clock: Drift,
    entries: Vec<Entry>,
    mail: Vec<Mail>,
    time: u64,
    incarnations: u64,
    flaw: Flaw,
    acted: u64,
}

fn machine() -> Machine {
    let mut machine = Machine::default();
    for place in 0..ENTRIES {
        let line = format!("create host e{place} role=entry hall=a rpc=127.0.0.1:{place}");
        let command = Command {
            operator: "root".parse().expect("a name"),
            number: place as u64,
            line,
        };
        machine.apply(&Record::Command(command)).expect("a host");
    }
    machine
}

impl History {
    fn new(flaw: Flaw) -> Self {
        let entry = |place: usize| Entry {
            holder: Holder::new(member(place, place as u64)),
            clock: Drift(place as u64 * 10),
            alive: true,
        };
        Self {
            machine: machine(),
            grantor: Grantor::new(Lease::default(), Instant::default()),
            clock: Drift(20),
            entries: (0..ENTRIES).map(entry).collect(),
            mail: Vec::new(),
            time: 1,
            incarnations: 100,
            flaw,
            acted: 0,
        }
    }

    fn step(&mut self, g: &mut Gen) {
        let pick = usize::arbitrary(g);
        match u8::arbitrary(g) {
            0..=59 => self.ask(pick % ENTRIES),
            60..=189 => self.deliver(pick),
            190..=229 => self.time += 1_000 * (pick as u64 % 200),
            230..=231 => self.entries[pick % ENTRIES].alive = false,
            232..=234 => self.restart(pick % ENTRIES),
            235 => self.grantor = Grantor::new(Lease::default(), self.clock.at(self.time)),
            236 => {
                let place = pick % self.mail.len().max(1);
                if place < self.mail.len() {
                    self.mail.remove(place);
                }
            }
            _ => self.tend(),
        }
    }

    fn ask(&mut self, place: usize) {
        let entry = &self.entries[place];
        if entry.alive {
            let asked = entry.clock.at(self.time);
            let incarnation = entry.holder.get_member().incarnation;
            self.mail.push(Mail::Renewal(
                place,
                incarnation,
                entry.holder.renewal(),
                asked,
            ));
        }
    }

    fn deliver(&mut self, pick: usize) {
        if self.mail.is_empty() {
            return;
        }
        let place = if pick.is_multiple_of(8) {
            pick / 8 % self.mail.len()
        } else {
            0
        };
        match self.mail.remove(place) {
            Mail::Renewal(entry, incarnation, renewal, asked) => {
                let now = self.clock.at(self.time);
                let grant = self
                    .grantor
                    .renew(&renewal, &self.machine, now)
                    .expect("it is known");
                self.mail
                    .push(Mail::Grant(entry, incarnation, grant, asked));
            }
            Mail::Grant(entry, incarnation, grant, asked) => {
                let entry = &mut self.entries[entry];
                if entry.alive && entry.holder.get_member().incarnation == incarnation {
                    entry.holder.on_grant(grant, asked);
                }
            }
        }
    }

    /// The host's process starts anew, whether the former one had ended or not.
    fn restart(&mut self, place: usize) {
        self.incarnations += 1;
        let entry = &mut self.entries[place];
        entry.holder = Holder::new(member(place, self.incarnations));
        entry.alive = true;
    }

    fn tend(&mut self) {
        let now = self.clock.at(self.time);
        if let Some(roster) = self.grantor.propose_roster(&self.machine, now) {
            self.machine
                .apply(&Record::Roster(roster))
                .expect("a view is taken");
        }
    }

    fn acting(&self, entry: &Entry) -> Option<Arc<Roster>> {
        let now = match self.flaw {
            Flaw::None => entry.clock.at(self.time),
            Flaw::IgnoreLease => Instant::default(),
        };
        entry.holder.usable_roster(now).cloned()
    }

    fn check(&mut self) -> Result<(), String> {
        let alive = self.entries.iter().filter(|entry| entry.alive);
        let views: Vec<_> = alive.filter_map(|entry| self.acting(entry)).collect();
        self.acted += views.len() as u64;
        let same = views
            .windows(2)
            .all(|pair| pair[0].number == pair[1].number);
        let numbers: Vec<_> = views.iter().map(|roster| roster.number.0).collect();
        if same {
            Ok(())
        } else {
            Err(format!("entries act under the views {numbers:?}"))
        }
    }
}

fn run(seed: u64, flaw: Flaw) -> Result<u64, String> {
    let mut g = Gen::from_size_and_seed(100, seed);
    let mut history = History::new(flaw);
    for number in 0..STEPS {
        history.step(&mut g);
        history
            .check()
            .map_err(|why| format!("step {number}: {why}"))?;
    }
    Ok(history.acted)
}

#[test]
fn one_view() {
    let acted: u64 = (0..COUNT)
        .map(|seed| run(seed, Flaw::None).expect("one view"))
        .sum();
    assert!(acted > COUNT * STEPS as u64 / 4, "the entries act: {acted}");
}

#[test]
fn finds_ignored_lease() {
    let found = (0..COUNT).find(|seed| run(*seed, Flaw::IgnoreLease).is_err());
    println!("ignored lease: seed {}", found.expect("it is found"));
}

#[test]
fn cut_off() {
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
    let asked = Instant(1_000_000);
    holder.on_grant(grant, asked);
    assert!(
        holder
            .usable_roster(asked + Duration::from_millis(1_999))
            .is_some()
    );
    assert!(
        holder
            .usable_roster(asked + Duration::from_secs(2))
            .is_none(),
        "it counts from the asking"
    );
}

#[test]
fn never_older() {
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
        "a late answer does not turn it back"
    );
}

#[test]
fn by_steps() {
    let mut machine = machine();
    let mut grantor = Grantor::new(Lease::default(), Instant::default());
    let mut holder = Holder::new(member(0, 1));
    for number in 0..400 {
        let command = Command {
            operator: "root".parse().expect("a name"),
            number: 1_000 + number,
            line: format!("create service s{number} model=m{number}"),
        };
        machine.apply(&Record::Command(command)).expect("a change");
        if number % 7 == 0 || number > 390 {
            let now = Instant(number);
            let grant = grantor
                .renew(&holder.renewal(), &machine, now)
                .expect("it is known");
            let whole = matches!(grant.update, Update::Snapshot(_));
            assert_eq!(whole, number == 0, "steps, but for the first time");
            holder.on_grant(grant.clone(), now);
            holder.on_grant(grant, now);
            assert_eq!(holder.get_snapshot(), machine.get_snapshot());
        }
    }
    let mut late = Holder::new(member(1, 2));
    let grant = grantor
        .renew(&late.renewal(), &machine, Instant(500))
        .expect("it is known");
    late.on_grant(grant, Instant(500));
    assert_eq!(late.get_snapshot(), machine.get_snapshot());
}

#[test]
fn taken_up_first() {
    let mut machine = machine();
    let mut grantor = Grantor::new(Lease::default(), Instant::default());
    let mut holders: Vec<_> = (0..3).map(|place| Holder::new(member(place, 1))).collect();
    let renew = |grantor: &mut Grantor, holder: &mut Holder, machine: &Machine, now: u64| {
        let grant = grantor.renew(&holder.renewal(), machine, Instant(now));
        holder.on_grant(grant.expect("it is known"), Instant(now));
    };
    let propose = |grantor: &mut Grantor, machine: &mut Machine, now: u64| {
        let next = grantor.propose_roster(machine, Instant(now));
        let some = next.is_some();
        if let Some(roster) = next {
            machine
                .apply(&Record::Roster(roster))
                .expect("a view is taken");
        }
        some
    };
    renew(&mut grantor, &mut holders[0], &machine, 1);
    assert!(propose(&mut grantor, &mut machine, 2));
    renew(&mut grantor, &mut holders[1], &machine, 3);
    assert!(
        !propose(&mut grantor, &mut machine, 4),
        "the first has not taken its view up"
    );
    renew(&mut grantor, &mut holders[0], &machine, 5);
    assert!(
        !propose(&mut grantor, &mut machine, 6),
        "nor told that it has"
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
        "a copy is not whole"
    );
    let late = 2_200_000;
    renew(&mut grantor, &mut holders[1], &machine, late);
    assert!(
        propose(&mut grantor, &mut machine, late + 1),
        "but a death does not wait"
    );
}

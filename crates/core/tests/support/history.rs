//! A few replicas, their disks and a bag of messages, driven by seeded steps.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::id::Disk;
use curlewlift_core::id::Host;
use curlewlift_core::id::Index;
use curlewlift_core::id::Term;
use curlewlift_core::log::Body;
use curlewlift_core::log::Entry;
use curlewlift_core::log::Member;
use curlewlift_core::log::Members;
use curlewlift_core::log::Message;
use curlewlift_core::log::Payload;
use curlewlift_core::log::Replica;
use curlewlift_core::log::Role;
use curlewlift_core::log::SavedState;
use curlewlift_core::log::SyncId;
use curlewlift_core::log::Timing;
use curlewlift_core::log::Write;
use quickcheck::Arbitrary;
use quickcheck::Gen;

/// Hosts; the first founds, the others join.
const HOSTS: usize = 3;

/// A rule that is broken on purpose, to see that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flaw {
    /// All rules are kept.
    None,
    /// A replica forgets its vote when it restarts.
    DoubleVote,
    /// A disk says that it has synced before it has.
    EarlyAnswer,
    /// A blank disk comes back under the identity of the one that was lost.
    OldDisk,
    /// A replica counts before it is whole.
    EarlyLearner,
}

/// One step of a history; numbers pick among what there is.
#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize),
    Drop(usize),
    Double(usize),
    Tick(u64),
    Sync(usize),
    Crash(usize),
    Start(usize),
    Restart(usize),
    Lose(usize),
    Cut(usize, usize),
    Heal,
    Propose(usize),
    Join(usize),
    Promote,
    Expel(usize),
    Compact(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = usize::arbitrary(g);
        let other = usize::arbitrary(g);
        match u8::arbitrary(g) {
            0..=133 => Self::Deliver(pick),
            134..=136 => Self::Drop(pick),
            137..=139 => Self::Double(pick),
            140..=169 => Self::Tick(1 + pick as u64 % 60),
            170 => Self::Tick(600 + pick as u64 % 600),
            171..=215 => Self::Sync(pick),
            216 => Self::Crash(pick),
            217 => Self::Restart(pick),
            218..=224 => Self::Start(pick),
            225 if pick % 4 == 0 => Self::Lose(pick / 4),
            226..=227 => Self::Cut(pick, other),
            228..=231 => Self::Heal,
            232..=241 => Self::Propose(pick),
            242..=247 => Self::Join(pick),
            248..=253 => Self::Promote,
            254 if pick % 4 == 0 => Self::Expel(pick / 4),
            _ => Self::Compact(pick),
        }
    }
}

impl Step {
    /// The step as the history's kind has it: one in three is rich in elections, one in cuts.
    fn under(self, seed: u64) -> Self {
        match (seed % 3, self) {
            (1, Self::Double(pick)) => Self::Restart(pick),
            (1, Self::Heal | Self::Drop(_)) => Self::Tick(1_300),
            (1, Self::Propose(pick)) if pick % 2 == 0 => Self::Restart(pick / 2),
            (1, Self::Cut(..)) => Self::Heal,
            (2, Self::Double(pick)) => Self::Cut(pick, pick / HOSTS),
            (_, step) => step,
        }
    }
}

/// A host: its disk, what was written but not synced, and the replica while it runs.
struct Node {
    host: Host,
    disk: SavedState,
    written: Vec<(SyncId, Vec<Write>)>,
    replica: Option<Replica>,
    applied: Index,
}

/// A history so far.
pub(crate) struct History {
    nodes: Vec<Node>,
    bag: Vec<Message>,
    cuts: Vec<(usize, usize)>,
    now: Instant,
    seed: u64,
    draws: u64,
    flaw: Flaw,
    leaders: BTreeMap<Term, Host>,
    committed: BTreeMap<Index, Entry>,
}

/// Runs the history of `seed`; the error says which promise was broken.
pub(crate) fn run(seed: u64, steps: usize, flaw: Flaw) -> Result<History, String> {
    let mut history = History::new(seed, flaw);
    let mut g = Gen::from_size_and_seed(100, seed);
    for number in 0..steps {
        let step = Step::arbitrary(&mut g).under(seed);
        let told = format!("step {number} {step:?}");
        history.take(step).map_err(|why| format!("{told}: {why}"))?;
        history.check().map_err(|why| format!("{told}: {why}"))?;
    }
    Ok(history)
}

impl History {
    fn new(seed: u64, flaw: Flaw) -> Self {
        let hosts = (0..HOSTS).map(|place| format!("c{place}").parse().expect("a name"));
        let hosts: Vec<Host> = hosts.collect();
        let node = |place: usize| Node {
            host: hosts[place].clone(),
            disk: first_disk(&hosts, place, seed % 3 == 1),
            written: Vec::new(),
            replica: None,
            applied: Index(0),
        };
        let mut history = Self {
            nodes: (0..HOSTS).map(node).collect(),
            bag: Vec::new(),
            cuts: Vec::new(),
            now: Instant::default(),
            seed,
            draws: HOSTS as u64,
            flaw,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
        };
        for place in 0..HOSTS {
            history
                .start(place)
                .expect("a fresh replica breaks nothing");
        }
        history
    }

    /// Entries that were committed.
    pub(crate) fn committed(&self) -> usize {
        self.committed.len()
    }

    fn draw(&mut self) -> u64 {
        self.draws += 1;
        self.draws
    }

    fn take(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Deliver(pick) => self.deliver(pick, false),
            Step::Double(pick) => self.deliver(pick, true),
            Step::Drop(pick) => {
                if !self.bag.is_empty() {
                    self.bag.swap_remove(pick % self.bag.len());
                }
                Ok(())
            }
            Step::Tick(millis) => {
                self.now = self.now + Duration::from_millis(millis);
                let now = self.now;
                self.each(|replica| replica.tick(now))
            }
            Step::Sync(pick) => self.sync(pick % HOSTS),
            Step::Crash(pick) => {
                self.crash(pick % HOSTS);
                Ok(())
            }
            Step::Restart(pick) => {
                self.crash(pick % HOSTS);
                self.start(pick % HOSTS)
            }
            Step::Start(pick) => self.start(pick % HOSTS),
            Step::Lose(pick) => {
                self.lose(pick % HOSTS);
                Ok(())
            }
            Step::Cut(a, b) => {
                self.cuts.push((a % HOSTS, b % HOSTS));
                Ok(())
            }
            Step::Heal => {
                self.cuts.clear();
                Ok(())
            }
            Step::Propose(pick) => {
                let data = self.draw().to_be_bytes().to_vec();
                let now = self.now;
                self.at(pick % HOSTS, |replica| drop(replica.propose(data, now)))
            }
            Step::Join(pick) => self.join(pick % HOSTS),
            Step::Promote => self.promote(),
            Step::Expel(pick) => {
                let host = self.nodes[pick % HOSTS].host.clone();
                let now = self.now;
                self.each(|replica| drop(replica.remove(&host, now)))
            }
            Step::Compact(pick) => self.at(pick % HOSTS, |replica| replica.compact(vec![1])),
        }
    }

    fn deliver(&mut self, pick: usize, keep: bool) -> Result<(), String> {
        if self.bag.is_empty() {
            return Ok(());
        }
        // Mostly the oldest, sometimes any.
        let place = if pick.is_multiple_of(4) {
            (pick / 4) % self.bag.len()
        } else {
            0
        };
        let message = if keep {
            self.bag[place].clone()
        } else {
            self.bag.remove(place)
        };
        let find = |host: &Host| self.nodes.iter().position(|node| &node.host == host);
        let (Some(from), Some(to)) = (find(&message.from), find(&message.to)) else {
            return Ok(());
        };
        if self.cuts.contains(&(from, to)) {
            return Ok(());
        }
        let mut message = message;
        if self.flaw == Flaw::EarlyLearner {
            self.lie(to, &mut message);
        }
        let now = self.now;
        self.at(to, |replica| replica.receive(message, now))
    }

    fn sync(&mut self, place: usize) -> Result<(), String> {
        let node = &mut self.nodes[place];
        let Some((sync, _)) = node.written.last() else {
            return Ok(());
        };
        let sync = *sync;
        for (_, writes) in std::mem::take(&mut node.written) {
            for write in writes {
                node.disk.apply(write);
            }
        }
        let now = self.now;
        self.at(place, |replica| replica.on_synced(sync, now))
    }

    /// What was written and not synced is gone.
    fn crash(&mut self, place: usize) {
        let node = &mut self.nodes[place];
        node.replica = None;
        node.written.clear();
    }

    fn start(&mut self, place: usize) -> Result<(), String> {
        let seed = self.seed * 1_000 + self.draw();
        let now = self.now;
        let node = &mut self.nodes[place];
        if node.replica.is_some() {
            return Ok(());
        }
        if self.flaw == Flaw::DoubleVote {
            node.disk.hard_state.vote = None;
        }
        let saved = node.disk.clone();
        node.applied = saved.snapshot.index;
        let replica = Replica::new(node.host.clone(), saved, Timing::default(), seed, now);
        node.replica = Some(replica);
        self.at(place, |_| {})
    }

    /// The disk is lost; the host comes back with a blank one.
    fn lose(&mut self, place: usize) {
        let fresh = Disk(self.draw());
        let node = &mut self.nodes[place];
        let old = node.disk.hard_state.disk;
        node.replica = None;
        node.written.clear();
        let disk = if self.flaw == Flaw::OldDisk {
            old
        } else {
            fresh
        };
        node.disk = Replica::blank_state(disk);
        if self.flaw == Flaw::OldDisk {
            // Such a disk would claim its place: it knows the members as they were.
            node.disk.hard_state.boot = 1_000 + fresh.0;
            node.disk.entries = Replica::founding_state(&node.host, old).entries;
        }
    }

    /// A replica that is no member asks every leader to be taken in; a leader first takes out the
    /// replica that its host had on a lost disk.
    fn join(&mut self, place: usize) -> Result<(), String> {
        let node = &self.nodes[place];
        let host = node.host.clone();
        let disk = node.disk.hard_state.disk;
        let now = self.now;
        self.each(|replica| {
            let other = replica
                .members()
                .get(&host)
                .is_some_and(|member| member.disk != disk);
            if other {
                drop(replica.remove(&host, now));
            } else {
                drop(replica.admit(&host, disk, now));
            }
        })
    }

    fn promote(&mut self) -> Result<(), String> {
        let now = self.now;
        self.each(|replica| {
            for host in replica.caught_up_learners() {
                drop(replica.promote(&host, now));
            }
        })
    }

    /// Makes a replica that is not whole say that it has everything.
    fn lie(&self, to: usize, message: &mut Message) {
        let Some(leader) = &self.nodes[to].replica else {
            return;
        };
        if let Payload::AppendReply { matched, index, .. } = &mut message.payload
            && !*matched
        {
            *matched = true;
            *index = leader.last_index();
        }
    }

    fn each(&mut self, mut event: impl FnMut(&mut Replica)) -> Result<(), String> {
        (0..HOSTS).try_for_each(|place| self.at(place, &mut event))
    }

    /// One event at one replica, and what follows from it.
    fn at(&mut self, place: usize, event: impl FnOnce(&mut Replica)) -> Result<(), String> {
        let now = self.now;
        let node = &mut self.nodes[place];
        let Some(replica) = &mut node.replica else {
            return Ok(());
        };
        event(replica);
        let output = replica.take_output();
        if let Some(sync) = output.sync {
            node.written.push((sync, output.writes));
            if self.flaw == Flaw::EarlyAnswer {
                replica.on_synced(sync, now);
            }
        }
        self.bag.extend(output.sends);
        if let Some(snapshot) = output.install {
            node.applied = snapshot.index;
        }
        for entry in output.commits {
            node.applied = node.applied.next();
            if entry.index != node.applied {
                return Err(format!("{} applied {} out of turn", node.host, entry.index));
            }
            let first = self
                .committed
                .entry(entry.index)
                .or_insert_with(|| entry.clone());
            if *first != entry {
                return Err(format!("two entries were committed at {}", entry.index));
            }
        }
        Ok(())
    }

    fn check(&mut self) -> Result<(), String> {
        for node in &self.nodes {
            let Some(replica) = &node.replica else {
                continue;
            };
            if replica.get_role() != Role::Leader {
                continue;
            }
            let term = replica.get_term();
            let first = self
                .leaders
                .entry(term)
                .or_insert_with(|| node.host.clone());
            if *first != node.host {
                return Err(format!(
                    "{first} and {} both lead in term {term}",
                    node.host
                ));
            }
            let newest = self
                .leaders
                .last_key_value()
                .is_some_and(|last| *last.0 == term);
            if newest {
                has_all(replica, &self.committed)?;
            }
        }
        Ok(())
    }
}

/// What a disk holds at first: one replica founds and the others join, or all are there already.
fn first_disk(hosts: &[Host], place: usize, all: bool) -> SavedState {
    let disk = |place: usize| Disk(place as u64 + 1);
    if !all && place > 0 {
        return Replica::blank_state(disk(place));
    }
    let mut saved = Replica::founding_state(&hosts[0], disk(0));
    saved.hard_state.disk = disk(place);
    if all {
        let member = |place: usize| Member {
            host: hosts[place].clone(),
            disk: disk(place),
            voter: true,
        };
        let members = Members((0..hosts.len()).map(member).collect());
        saved.entries[0].body = Body::Members(members);
    }
    saved
}

/// Whether the newest leader has everything that was committed.
fn has_all(leader: &Replica, committed: &BTreeMap<Index, Entry>) -> Result<(), String> {
    let kept = leader.entries();
    let from = leader.snapshot().index;
    for (index, entry) in committed.range(from.next()..) {
        let offset = usize::try_from(index.0 - from.0 - 1).unwrap_or(usize::MAX);
        if kept.get(offset) != Some(entry) {
            return Err(format!(
                "the leader {} has lost what was committed at {index}",
                leader.get_host()
            ));
        }
    }
    Ok(())
}

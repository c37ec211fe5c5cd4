//! Replicas, their disks and the messages in flight, driven by seeded random steps.

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

/// Number of hosts; the first founds the log, the others join.
const HOSTS: usize = 3;

/// A rule that is broken on purpose, to show that the checks notice it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flaw {
    /// No rule is broken.
    None,
    /// A replica forgets its vote when it restarts.
    DoubleVote,
    /// A disk reports that it has synced before it has.
    EarlySyncReport,
    /// A lost disk is replaced by a blank one under the same identity.
    OldDisk,
    /// A learner becomes a voter before it has caught up.
    EarlyLearner,
}

/// One step of a history. The numbers select a host, a message or a duration.
#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize),
    Drop(usize),
    Duplicate(usize),
    Tick(u64),
    Sync(usize),
    Crash(usize),
    Start(usize),
    Restart(usize),
    LoseDisk(usize),
    BreakLink(usize, usize),
    HealLinks,
    Propose(usize),
    Join(usize),
    Promote,
    Remove(usize),
    Compact(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = usize::arbitrary(g);
        let other = usize::arbitrary(g);
        match u8::arbitrary(g) {
            0..=133 => Self::Deliver(pick),
            134..=136 => Self::Drop(pick),
            137..=139 => Self::Duplicate(pick),
            140..=169 => Self::Tick(1 + pick as u64 % 60),
            170 => Self::Tick(600 + pick as u64 % 600),
            171..=215 => Self::Sync(pick),
            216 => Self::Crash(pick),
            217 => Self::Restart(pick),
            218..=224 => Self::Start(pick),
            225 if pick % 4 == 0 => Self::LoseDisk(pick / 4),
            226..=227 => Self::BreakLink(pick, other),
            228..=231 => Self::HealLinks,
            232..=241 => Self::Propose(pick),
            242..=247 => Self::Join(pick),
            248..=253 => Self::Promote,
            254 if pick % 4 == 0 => Self::Remove(pick / 4),
            _ => Self::Compact(pick),
        }
    }
}

impl Step {
    /// The step as it is run in the history of `seed`: a third of the histories has more elections,
    /// and another third has more broken links.
    fn adapted_to(self, seed: u64) -> Self {
        match (seed % 3, self) {
            (1, Self::Duplicate(pick)) => Self::Restart(pick),
            (1, Self::HealLinks | Self::Drop(_)) => Self::Tick(1_300),
            (1, Self::Propose(pick)) if pick % 2 == 0 => Self::Restart(pick / 2),
            (1, Self::BreakLink(..)) => Self::HealLinks,
            (2, Self::Duplicate(pick)) => Self::BreakLink(pick, pick / HOSTS),
            (_, step) => step,
        }
    }
}

/// A host: its disk, writes that are not synced yet, and the replica while it runs.
struct Node {
    host: Host,
    disk: SavedState,
    unsynced: Vec<(SyncId, Vec<Write>)>,
    replica: Option<Replica>,
    applied: Index,
}

/// The state of a history.
pub(crate) struct History {
    nodes: Vec<Node>,
    in_flight: Vec<Message>,
    broken_links: Vec<(usize, usize)>,
    now: Instant,
    seed: u64,
    drawn_numbers: u64,
    flaw: Flaw,
    /// Whether a leader replaces a lost replica in one change.
    replaces: bool,
    leaders: BTreeMap<Term, Host>,
    committed: BTreeMap<Index, Entry>,
}

/// Runs the history of `seed`; the error says which property was violated.
pub(crate) fn run(seed: u64, steps: usize, flaw: Flaw) -> Result<History, String> {
    run_from(History::new(seed, flaw, false), steps)
}

/// Runs the history of `seed` with lost replicas that are replaced in one change.
pub(crate) fn run_replacing(seed: u64, steps: usize) -> Result<History, String> {
    run_from(History::new(seed, Flaw::None, true), steps)
}

fn run_from(mut history: History, steps: usize) -> Result<History, String> {
    let seed = history.seed;
    let mut g = Gen::from_size_and_seed(100, seed);
    for number in 0..steps {
        let step = Step::arbitrary(&mut g).adapted_to(seed);
        let context = format!("step {number} {step:?}");
        history
            .run_step(step)
            .map_err(|why| format!("{context}: {why}"))?;
        history.check().map_err(|why| format!("{context}: {why}"))?;
    }
    Ok(history)
}

impl History {
    fn new(seed: u64, flaw: Flaw, replaces: bool) -> Self {
        let hosts = (0..HOSTS).map(|index| format!("c{index}").parse().expect("valid name"));
        let hosts: Vec<Host> = hosts.collect();
        let node = |index: usize| Node {
            host: hosts[index].clone(),
            disk: first_disk(&hosts, index, seed % 3 == 1),
            unsynced: Vec::new(),
            replica: None,
            applied: Index(0),
        };
        let mut history = Self {
            nodes: (0..HOSTS).map(node).collect(),
            in_flight: Vec::new(),
            broken_links: Vec::new(),
            now: Instant::default(),
            seed,
            drawn_numbers: HOSTS as u64,
            flaw,
            replaces,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
        };
        for index in 0..HOSTS {
            history
                .start(index)
                .expect("a fresh replica breaks nothing");
        }
        history
    }

    /// Number of committed entries.
    pub(crate) fn committed(&self) -> usize {
        self.committed.len()
    }

    fn next_number(&mut self) -> u64 {
        self.drawn_numbers += 1;
        self.drawn_numbers
    }

    fn run_step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Deliver(pick) => self.deliver(pick, false),
            Step::Duplicate(pick) => self.deliver(pick, true),
            Step::Drop(pick) => {
                if !self.in_flight.is_empty() {
                    self.in_flight.swap_remove(pick % self.in_flight.len());
                }
                Ok(())
            }
            Step::Tick(millis) => {
                self.now = self.now + Duration::from_millis(millis);
                let now = self.now;
                self.at_each(|replica| replica.tick(now))
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
            Step::LoseDisk(pick) => {
                self.lose_disk(pick % HOSTS);
                Ok(())
            }
            Step::BreakLink(a, b) => {
                self.broken_links.push((a % HOSTS, b % HOSTS));
                Ok(())
            }
            Step::HealLinks => {
                self.broken_links.clear();
                Ok(())
            }
            Step::Propose(pick) => {
                let data = self.next_number().to_be_bytes().to_vec();
                let now = self.now;
                self.at(pick % HOSTS, |replica| drop(replica.propose(data, now)))
            }
            Step::Join(pick) => self.join(pick % HOSTS),
            Step::Promote => self.promote(),
            Step::Remove(pick) => {
                let host = self.nodes[pick % HOSTS].host.clone();
                let now = self.now;
                self.at_each(|replica| drop(replica.remove(&host, now)))
            }
            Step::Compact(pick) => self.at(pick % HOSTS, |replica| replica.compact(vec![1])),
        }
    }

    fn deliver(&mut self, pick: usize, duplicate: bool) -> Result<(), String> {
        if self.in_flight.is_empty() {
            return Ok(());
        }
        // Usually the oldest message, sometimes any.
        let index = if pick.is_multiple_of(4) {
            (pick / 4) % self.in_flight.len()
        } else {
            0
        };
        let message = if duplicate {
            self.in_flight[index].clone()
        } else {
            self.in_flight.remove(index)
        };
        let find = |host: &Host| self.nodes.iter().position(|node| &node.host == host);
        let (Some(from), Some(to)) = (find(&message.from), find(&message.to)) else {
            return Ok(());
        };
        if self.broken_links.contains(&(from, to)) {
            return Ok(());
        }
        let mut message = message;
        if self.flaw == Flaw::EarlyLearner {
            self.forge_reply(to, &mut message);
        }
        let now = self.now;
        self.at(to, |replica| replica.receive(message, now))
    }

    fn sync(&mut self, index: usize) -> Result<(), String> {
        let node = &mut self.nodes[index];
        let Some((sync, _)) = node.unsynced.last() else {
            return Ok(());
        };
        let sync = *sync;
        for (_, writes) in std::mem::take(&mut node.unsynced) {
            for write in writes {
                node.disk.apply(write);
            }
        }
        let now = self.now;
        self.at(index, |replica| replica.on_synced(sync, now))
    }

    /// Stops the replica; writes that are not synced are lost.
    fn crash(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.replica = None;
        node.unsynced.clear();
    }

    fn start(&mut self, index: usize) -> Result<(), String> {
        let seed = self.seed * 1_000 + self.next_number();
        let now = self.now;
        let node = &mut self.nodes[index];
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
        self.at(index, |_| {})
    }

    /// Replaces the disk by a blank one; the replica stops.
    fn lose_disk(&mut self, index: usize) {
        let new_disk = Disk(self.next_number());
        let node = &mut self.nodes[index];
        let old = node.disk.hard_state.disk;
        node.replica = None;
        node.unsynced.clear();
        let disk = if self.flaw == Flaw::OldDisk {
            old
        } else {
            new_disk
        };
        node.disk = Replica::blank_state(disk);
        if self.flaw == Flaw::OldDisk {
            // Such a disk claims to be a member: it has the replica set as of the founding.
            node.disk.hard_state.boot = 1_000 + new_disk.0;
            node.disk.entries = Replica::founding_state(&node.host, old).entries;
        }
    }

    /// A replica that is no member asks every leader to be admitted. A leader replaces the replica that the same host had on
    /// a lost disk, or first removes it.
    fn join(&mut self, index: usize) -> Result<(), String> {
        let node = &self.nodes[index];
        let host = node.host.clone();
        let disk = node.disk.hard_state.disk;
        let now = self.now;
        let replaces = self.replaces;
        self.at_each(|replica| {
            let other = replica
                .members()
                .get(&host)
                .is_some_and(|member| member.disk != disk);
            if other && replaces {
                drop(replica.replace(&host, disk, now));
            } else if other {
                drop(replica.remove(&host, now));
            } else {
                drop(replica.admit(&host, disk, now));
            }
        })
    }

    fn promote(&mut self) -> Result<(), String> {
        let now = self.now;
        self.at_each(|replica| {
            for host in replica.promotable_learners() {
                drop(replica.promote(&host, now));
            }
        })
    }

    /// Makes a replica that lacks entries report that it has everything.
    fn forge_reply(&self, to: usize, message: &mut Message) {
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

    fn at_each(&mut self, mut event: impl FnMut(&mut Replica)) -> Result<(), String> {
        (0..HOSTS).try_for_each(|index| self.at(index, &mut event))
    }

    /// Runs one event at one replica, and handles its output.
    fn at(&mut self, index: usize, event: impl FnOnce(&mut Replica)) -> Result<(), String> {
        let now = self.now;
        let node = &mut self.nodes[index];
        let Some(replica) = &mut node.replica else {
            return Ok(());
        };
        event(replica);
        let output = replica.take_output();
        if let Some(sync) = output.sync {
            node.unsynced.push((sync, output.writes));
            if self.flaw == Flaw::EarlySyncReport {
                replica.on_synced(sync, now);
            }
        }
        self.in_flight.extend(output.sends);
        if let Some(snapshot) = output.install {
            node.applied = snapshot.index;
        }
        for entry in output.commits {
            node.applied = node.applied.next();
            if entry.index != node.applied {
                return Err(format!(
                    "{} applied {} out of order",
                    node.host, entry.index
                ));
            }
            let first = self
                .committed
                .entry(entry.index)
                .or_insert_with(|| entry.clone());
            if *first != entry {
                return Err(format!(
                    "two different entries were committed at {}",
                    entry.index
                ));
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
                has_all_committed(replica, &self.committed)?;
            }
        }
        Ok(())
    }
}

/// The initial disk of a host. If `all`, every host is a member from the start; otherwise the first
/// one founds the log and the others join.
fn first_disk(hosts: &[Host], index: usize, all: bool) -> SavedState {
    let disk = |index: usize| Disk(index as u64 + 1);
    if !all && index > 0 {
        return Replica::blank_state(disk(index));
    }
    let mut saved = Replica::founding_state(&hosts[0], disk(0));
    saved.hard_state.disk = disk(index);
    if all {
        let member = |index: usize| Member {
            host: hosts[index].clone(),
            disk: disk(index),
            voter: true,
        };
        let members = Members((0..hosts.len()).map(member).collect());
        saved.entries[0].body = Body::Members(members);
    }
    saved
}

/// Checks that the newest leader has every committed entry.
fn has_all_committed(leader: &Replica, committed: &BTreeMap<Index, Entry>) -> Result<(), String> {
    let entries = leader.entries();
    let from = leader.snapshot().index;
    for (index, entry) in committed.range(from.next()..) {
        let offset = usize::try_from(index.0 - from.0 - 1).unwrap_or(usize::MAX);
        if entries.get(offset) != Some(entry) {
            return Err(format!(
                "the leader {} has lost the entry committed at {index}",
                leader.get_host()
            ));
        }
    }
    Ok(())
}

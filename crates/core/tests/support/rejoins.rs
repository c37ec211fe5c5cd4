//! Seeded histories of control hosts that lose their disks and fail again while their replicas rejoin.
//!
//! Each history is a series of episodes. In an episode one host, the victim, loses its disk and is disturbed at random moments
//! until its replica votes again or another host replaces it. The others are killed and restarted with their disks now and then.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::id::Disk;
use curlewlift_core::id::Host;
use curlewlift_core::id::Index;
use curlewlift_core::id::Term;
use curlewlift_core::log::Entry;
use curlewlift_core::log::Maintainer;
use curlewlift_core::log::Message;
use curlewlift_core::log::Replica;
use curlewlift_core::log::Role;
use curlewlift_core::log::SavedState;
use curlewlift_core::log::SyncId;
use curlewlift_core::log::Timing;
use curlewlift_core::log::Write;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::network::Network;

/// The number of voters that tolerates one lost disk.
const TARGET_VOTERS: usize = 3;

/// How long all hosts but one must have been undisturbed before proposals have to be acknowledged in time.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// How long an acknowledgement may take then.
const ACKNOWLEDGE_TIME: Duration = Duration::from_secs(4);

/// How long all hosts are left undisturbed at the end of an episode.
const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// The interval between two steps of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// The interval between two requests of a replica to be admitted.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);

/// How long a member sees no leader before it asks to be admitted again.
const REJOIN_DELAY: Duration = Duration::from_millis(2_500);

/// Number of entries after which a replica compacts its log.
const MAX_ENTRIES: usize = 60;

/// The hosts at the beginning: with four, one replica follows as a learner.
const HOST_COUNTS: [usize; 2] = [3, 4];

/// Something that arrives at a host.
enum Delivery {
    Step(Message),
    Join { host: Host, disk: Disk },
}

/// How messages to or from the victim travel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    Normal,
    /// Messages to the victim are lost.
    NoInput,
    /// Messages from the victim are lost.
    NoOutput,
    /// Messages to the victim take long.
    Narrow,
}

/// A process with its disk.
struct Node {
    host: Host,
    disk: SavedState,
    replica: Option<Replica>,
    maintainer: Maintainer,
    unsynced: Vec<(Instant, SyncId, Vec<Write>)>,
    next_join: Instant,
    leaderless_since: Option<Instant>,
    frozen_until: Instant,
    link: Link,
    /// When it was last disturbed.
    disturbed_at: Instant,
}

/// A running history.
pub(crate) struct History {
    nodes: Vec<Node>,
    /// The number of nodes but for the replacement of one that is lost.
    hosts: usize,
    network: Network<(usize, Host, Delivery)>,
    random: SmallRng,
    now: Instant,
    /// The node whose disk was lost and does not vote again yet.
    victim: Option<usize>,
    committed: BTreeMap<Index, Entry>,
    leaders: BTreeMap<Term, (Host, Disk)>,
    proposals: BTreeMap<Index, Term>,
    acknowledged: usize,
    last_acknowledged: Instant,
    drawn_numbers: u64,
}

/// When the first episode of a history begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Beginning {
    /// Once all hosts vote.
    Formed,
    /// Within the first second of the first start.
    FirstStart,
}

/// Runs the history of `seed` with `episodes` episodes; returns the number of acknowledged proposals.
///
/// # Errors
///
/// Says which property was violated, and when.
pub(crate) fn run(seed: u64, episodes: u32, beginning: Beginning) -> Result<usize, String> {
    let mut history = History::new(seed);
    let result = match beginning {
        Beginning::Formed => history.recover(),
        Beginning::FirstStart => history.run_first_start(),
    };
    let result = result.and_then(|()| history.run_episodes(episodes));
    result.map_err(|why| format!("at {}: {why}\n{}", history.now, history.describe()))?;
    Ok(history.acknowledged)
}

fn millis(random: &mut SmallRng, from: u64, to: u64) -> Duration {
    Duration::from_millis(random.random_range(from..=to))
}

impl History {
    /// Hosts start for the first time, and three of them found the log together.
    fn new(seed: u64) -> Self {
        let host_count = HOST_COUNTS[usize::from(seed % 4 == 3)];
        let hosts: Vec<Host> = (0..host_count)
            .map(|index| format!("c{index}").parse().expect("valid name"))
            .collect();
        let mut history = Self {
            nodes: Vec::new(),
            hosts: host_count,
            network: Network::new(),
            random: SmallRng::seed_from_u64(seed),
            now: Instant::default(),
            victim: None,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            proposals: BTreeMap::new(),
            acknowledged: 0,
            last_acknowledged: Instant::default(),
            drawn_numbers: 1_000,
        };
        let founders = hosts.iter().take(TARGET_VOTERS).cloned().collect();
        for host in hosts {
            let founding = Replica::shared_founding_state(&host, &founders);
            let blank = Replica::blank_state(Disk(history.next_number()));
            history.add_node(host, founding.unwrap_or(blank));
        }
        history
    }

    fn run_episodes(&mut self, episodes: u32) -> Result<(), String> {
        for _ in 0..episodes {
            self.run_episode()?;
            self.recover()?;
        }
        Ok(())
    }

    /// A founder is lost soon after its first start, with its disk or without. The two others begin without it.
    fn run_first_start(&mut self) -> Result<(), String> {
        let delay = millis(&mut self.random, 0, 1_000);
        self.run_for(delay)?;
        if self.random.random_bool(0.5) {
            self.run_episode()?;
        } else {
            let victim = self.random.random_range(0..self.nodes.len());
            self.victim = Some(victim);
            self.crash(victim);
            self.run_for(Duration::from_secs(12))?;
            self.start(victim);
        }
        self.recover()
    }

    fn recover(&mut self) -> Result<(), String> {
        self.run_for(RECOVERY_TIME)?;
        self.check_recovered()
    }

    /// One host loses its disk; what happens until it votes again is drawn.
    fn run_episode(&mut self) -> Result<(), String> {
        let victim = self.random.random_range(0..self.nodes.len());
        self.victim = Some(victim);
        let mut old_disk = self.nodes[victim].disk.clone();
        self.crash(victim);
        self.erase(victim);
        let down = millis(&mut self.random, 50, 3_000);
        self.run_for(down)?;
        self.start(victim);
        for _ in 0..self.random.random_range(0..5) {
            let pause = millis(&mut self.random, 0, 600);
            self.run_for(pause)?;
            self.disturb(victim, &mut old_disk)?;
        }
        match self.random.random_range(0..4) {
            // It fails once more, and the others go on without it.
            0 => {
                let pause = millis(&mut self.random, 0, 400);
                self.run_for(pause)?;
                self.crash(victim);
                self.run_for(Duration::from_secs(12))?;
                self.start(victim);
            }
            // Another host replaces it for good.
            1 => self.replace_host(victim)?,
            _ => self.start(victim),
        }
        let node = &mut self.nodes[victim];
        node.link = Link::Normal;
        node.disturbed_at = self.now;
        Ok(())
    }

    /// Disturbs the victim, or now and then another host.
    fn disturb(&mut self, victim: usize, old_disk: &mut SavedState) -> Result<(), String> {
        let other = (victim + self.random.random_range(1..self.nodes.len())) % self.nodes.len();
        let pause = millis(&mut self.random, 10, 1_500);
        match self.random.random_range(0..11) {
            0 | 1 => {
                self.crash(victim);
                self.run_for(pause)?;
                self.start(victim);
            }
            2 | 3 => {
                self.crash(victim);
                self.erase(victim);
                self.run_for(pause)?;
                self.start(victim);
            }
            4 => {
                self.nodes[victim].frozen_until = self.now + pause;
                self.nodes[victim].disturbed_at = self.now + pause;
            }
            5 => self.set_link(victim, Link::NoInput),
            6 => self.set_link(victim, Link::NoOutput),
            7 => self.set_link(victim, Link::Narrow),
            8 => self.set_link(victim, Link::Normal),
            // The lost disk is found again, with its host as it was.
            9 => {
                self.crash(victim);
                std::mem::swap(&mut self.nodes[victim].disk, old_disk);
                self.start(victim);
            }
            _ => {
                self.crash(other);
                self.run_for(pause)?;
                self.start(other);
            }
        }
        Ok(())
    }

    fn set_link(&mut self, index: usize, link: Link) {
        self.nodes[index].link = link;
        self.nodes[index].disturbed_at = self.now;
    }

    /// The victim ends for good, and a host with a blank disk takes its place.
    fn replace_host(&mut self, victim: usize) -> Result<(), String> {
        let joins_first = self.random.random_bool(0.5);
        if !joins_first {
            self.crash(victim);
        }
        let number = self.next_number();
        let host: Host = format!("n{number}").parse().expect("valid name");
        self.add_node(host, Replica::blank_state(Disk(number)));
        let pause = millis(&mut self.random, 0, 1_000);
        self.run_for(pause)?;
        self.crash(victim);
        let new = self.nodes.len() - 1;
        self.victim = Some(new);
        if self.random.random_bool(0.5) {
            // The replacement fails, too.
            let pause = millis(&mut self.random, 0, 800);
            self.run_for(pause)?;
            self.crash(new);
            self.run_for(Duration::from_secs(12))?;
            self.start(new);
        }
        self.nodes.swap(victim, new);
        self.nodes.truncate(new);
        self.victim = Some(victim);
        Ok(())
    }

    /// After all hosts have been undisturbed, each is a member, and three of them vote.
    fn check_recovered(&mut self) -> Result<(), String> {
        self.victim = None;
        let leading = self.leader().ok_or("no replica leads")?;
        let members = self.replica(leading).members();
        let is_member = |node: &Node| members.contains(&node.host, node.disk.hard_state.disk);
        if let Some(node) = self.nodes.iter().find(|node| !is_member(node)) {
            let host = &node.host;
            return Err(format!("{host} is no member after {RECOVERY_TIME:?}"));
        }
        let (voters, count) = (members.voters().count(), members.0.len());
        if voters != TARGET_VOTERS || count != self.nodes.len() {
            let hosts = self.nodes.len();
            return Err(format!(
                "{voters} voters of {count} members on {hosts} hosts"
            ));
        }
        Ok(())
    }
}

/// # Nodes
impl History {
    /// What each host runs, for the message of a failure.
    fn describe(&self) -> String {
        let describe = |node: &Node| {
            let running = node.replica.as_ref().map(|replica| {
                let (role, leader) = (replica.get_role(), replica.get_leader());
                let (term, commit) = (replica.get_term(), replica.get_commit());
                let members = &replica.members().0;
                format!(
                    "{role:?} of {leader:?} in {term}, commit {commit} of {}, {members:?}",
                    replica.last_index()
                )
            });
            let (host, disk) = (&node.host, node.disk.hard_state.disk.0);
            let (link, at) = (node.link, node.disturbed_at);
            format!("{host}/{disk} {link:?}, disturbed at {at}: {running:?}\n")
        };
        self.nodes.iter().map(describe).collect()
    }

    fn add_node(&mut self, host: Host, saved: SavedState) {
        self.nodes.push(Node {
            host,
            disk: saved,
            replica: None,
            maintainer: Maintainer::new(TARGET_VOTERS),
            unsynced: Vec::new(),
            next_join: self.now,
            leaderless_since: None,
            frozen_until: self.now,
            link: Link::Normal,
            disturbed_at: self.now,
        });
        self.start(self.nodes.len() - 1);
    }

    /// Starts the replica from its disk, unless it runs.
    fn start(&mut self, index: usize) {
        let seed = self.next_number();
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.replica.is_some() {
            return;
        }
        let saved = node.disk.clone();
        let replica = Replica::new(node.host.clone(), saved, Timing::default(), seed, now);
        node.replica = Some(replica);
        node.maintainer = Maintainer::new(TARGET_VOTERS);
        node.next_join = now;
        node.leaderless_since = None;
        node.disturbed_at = now;
    }

    /// Ends the replica. What it has not synced is kept or lost.
    fn crash(&mut self, index: usize) {
        let keeps = self.random.random_bool(0.5);
        let node = &mut self.nodes[index];
        node.replica = None;
        node.disturbed_at = self.now;
        for (_, _, writes) in node.unsynced.drain(..) {
            for write in writes.into_iter().filter(|_| keeps) {
                node.disk.apply(write);
            }
        }
    }

    /// Replaces the disk by a blank one.
    fn erase(&mut self, index: usize) {
        let disk = Disk(self.next_number());
        self.nodes[index].disk = Replica::blank_state(disk);
    }

    fn next_number(&mut self) -> u64 {
        self.drawn_numbers += 1;
        self.drawn_numbers
    }

    fn replica(&self, index: usize) -> &Replica {
        let replica = self.nodes[index].replica.as_ref();
        replica.expect("a running replica")
    }

    /// The replica that is certain to lead.
    fn leader(&self) -> Option<usize> {
        let is_leader = |node: &Node| {
            node.frozen_until <= self.now
                && node.replica.as_ref().is_some_and(|replica| {
                    replica.has_committed_in_term() && replica.reaches_majority(self.now)
                })
        };
        self.nodes.iter().position(is_leader)
    }
}

/// # Time
impl History {
    fn run_for(&mut self, time: Duration) -> Result<(), String> {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + STEP;
            self.deliver()?;
            for index in 0..self.nodes.len() {
                self.step_node(index)?;
            }
            self.propose()?;
            self.check_acknowledged()?;
        }
        Ok(())
    }

    fn deliver(&mut self) -> Result<(), String> {
        while let Some((_, to, delivery)) = self.network.receive(self.now.0) {
            let Some(index) = self.nodes.iter().position(|node| node.host == to) else {
                continue;
            };
            let frozen_until = self.nodes[index].frozen_until;
            if frozen_until > self.now {
                self.network.send(frozen_until.0, (index, to, delivery));
                continue;
            }
            let now = self.now;
            match delivery {
                Delivery::Step(message) => {
                    self.at(index, |_, replica| replica.receive(message, now))?;
                }
                Delivery::Join { host, disk } => {
                    if self.leader() == Some(index) {
                        self.at(index, |maintainer, replica| {
                            let _ = maintainer.admit(replica, &host, disk, now);
                        })?;
                    }
                }
            }
        }
        Ok(())
    }

    /// Lets the time of one node pass.
    fn step_node(&mut self, index: usize) -> Result<(), String> {
        let now = self.now;
        if self.nodes[index].frozen_until > now || self.nodes[index].replica.is_none() {
            return Ok(());
        }
        self.finish_syncs(index)?;
        let leads = self.leader() == Some(index);
        self.at(index, |maintainer, replica| {
            replica.tick(now);
            if replica.entries().len() > MAX_ENTRIES {
                replica.compact(vec![1]);
            }
            if leads && replica.reaches_majority(now) {
                maintainer.maintain(replica, now);
            }
        })?;
        if now >= self.nodes[index].next_join {
            self.nodes[index].next_join = now + JOIN_INTERVAL;
            self.join(index);
        }
        Ok(())
    }

    fn finish_syncs(&mut self, index: usize) -> Result<(), String> {
        let now = self.now;
        let node = &mut self.nodes[index];
        let finished: Vec<_> = node
            .unsynced
            .extract_if(.., |pending| pending.0 <= now)
            .collect();
        for (_, sync, writes) in finished {
            let node = &mut self.nodes[index];
            for write in writes {
                node.disk.apply(write);
            }
            self.at(index, |_, replica| replica.on_synced(sync, now))?;
        }
        Ok(())
    }

    /// Asks all others to be admitted, if the replica is not a member or has seen no leader for long.
    fn join(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let Some(replica) = &node.replica else {
            return;
        };
        let (host, disk) = (node.host.clone(), replica.get_disk());
        let is_leaderless = replica.get_leader().is_none();
        let since = node.leaderless_since.filter(|_| is_leaderless);
        node.leaderless_since = is_leaderless.then(|| since.unwrap_or(now));
        let may_be_removed = since.is_some_and(|since| now.since(since) > REJOIN_DELAY);
        if replica.members().contains(&host, disk) && !may_be_removed {
            return;
        }
        let others = self.nodes.iter().map(|node| node.host.clone());
        let others: Vec<_> = others.filter(|other| *other != host).collect();
        for to in others {
            let host = host.clone();
            self.send(index, to, Delivery::Join { host, disk });
        }
    }

    /// Sends something on its way, which it may lose or which may take long.
    fn send(&mut self, from: usize, to: Host, delivery: Delivery) {
        let output = self.nodes[from].link;
        let input = self.nodes.iter().find(|node| node.host == to);
        let input = input.map_or(Link::Normal, |node| node.link);
        if output == Link::NoOutput || input == Link::NoInput {
            return;
        }
        let delay = match input {
            Link::Narrow => millis(&mut self.random, 200, 2_000),
            _ => millis(&mut self.random, 1, 9),
        };
        let arrival = self.now + delay;
        self.network.send(arrival.0, (from, to, delivery));
    }

    /// Runs one event at a node, and handles its output.
    fn at(
        &mut self,
        index: usize,
        event: impl FnOnce(&mut Maintainer, &mut Replica),
    ) -> Result<(), String> {
        let node = &mut self.nodes[index];
        let Some(replica) = &mut node.replica else {
            return Ok(());
        };
        event(&mut node.maintainer, replica);
        let output = replica.take_output();
        let term = replica.get_term();
        let leads = replica.get_role() == Role::Leader;
        if let Some(sync) = output.sync {
            let done = self.now + millis(&mut self.random, 1, 15);
            let done = node.unsynced.last().map_or(done, |last| last.0.max(done));
            node.unsynced.push((done, sync, output.writes));
        }
        for message in output.sends {
            let to = message.to.clone();
            self.send(index, to, Delivery::Step(message));
        }
        for entry in output.commits {
            if leads && self.proposals.get(&entry.index) == Some(&entry.term) && entry.term == term
            {
                self.acknowledged += 1;
                self.last_acknowledged = self.now;
            }
            let first = self.committed.entry(entry.index);
            let first = first.or_insert_with(|| entry.clone());
            if *first != entry {
                let at = entry.index;
                return Err(format!("two different entries were committed at {at}"));
            }
        }
        Ok(())
    }
}

/// # Proposals
impl History {
    /// Proposes a value to the leader if enough replicas vote, as for an operator's change.
    fn propose(&mut self) -> Result<(), String> {
        let Some(index) = self.leader() else {
            return Ok(());
        };
        self.check_leader(index)?;
        let replica = self.replica(index);
        let (term, voters) = (replica.get_term(), replica.members().voters().count());
        let is_pending = replica.last_index() > replica.get_commit();
        if voters < TARGET_VOTERS || is_pending || !self.random.random_bool(0.2) {
            return Ok(());
        }
        let data = self.next_number().to_be_bytes().to_vec();
        let now = self.now;
        let proposed = self.replica(index).last_index().next();
        self.proposals.insert(proposed, term);
        self.at(index, |_, replica| drop(replica.propose(data, now)))
    }

    /// A term has one leader, which has everything that was committed.
    fn check_leader(&mut self, index: usize) -> Result<(), String> {
        let replica = self.replica(index);
        let (term, identity) = (
            replica.get_term(),
            (replica.get_host().clone(), replica.get_disk()),
        );
        if let Some(known) = self.leaders.get(&term) {
            if *known == identity {
                return Ok(());
            }
            return Err(format!("{known:?} and {identity:?} lead in term {term}"));
        }
        let from = replica.snapshot().index;
        for (at, entry) in self.committed.range(from.next()..) {
            let offset = usize::try_from(at.0 - from.0 - 1).unwrap_or(usize::MAX);
            if replica.entries().get(offset) != Some(entry) {
                return Err(format!("{} has lost the entry at {at}", replica.get_host()));
            }
        }
        self.leaders.insert(term, identity);
        Ok(())
    }

    /// While the other hosts, which have their disks, are undisturbed, proposals are acknowledged in time.
    fn check_acknowledged(&self) -> Result<(), String> {
        let Some(victim) = self.victim else {
            return Ok(());
        };
        let others = self.nodes.iter().enumerate();
        let others = others.filter(|(index, _)| *index != victim && *index < self.hosts);
        let disturbed_at = others.map(|(_, node)| node.disturbed_at).max();
        let calm_since = disturbed_at.unwrap_or_default() + CONTACT_TIME;
        let since = calm_since.max(self.last_acknowledged);
        if self.now.since(since) < ACKNOWLEDGE_TIME {
            return Ok(());
        }
        Err(format!(
            "nothing has been acknowledged for {ACKNOWLEDGE_TIME:?}, while all others were undisturbed"
        ))
    }
}

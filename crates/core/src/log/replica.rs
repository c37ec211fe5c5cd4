//! The replica: its state, and what is common to every event.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::clock::Instant;
use crate::id::Disk;
use crate::id::Host;
use crate::id::Index;
use crate::id::Term;

use super::Body;
use super::Boot;
use super::Entry;
use super::HardState;
use super::Member;
use super::Members;
use super::Message;
use super::Output;
use super::Payload;
use super::SavedState;
use super::Snapshot;
use super::SyncId;
use super::Write;

/// What a replica does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Listens to a leader.
    Follower,
    /// Asks whether an election would succeed.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// How long a replica waits for what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Without a leader before an election, at least; at most twice this.
    pub election: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(600),
        }
    }
}

/// The part of an election's time after which a replica that starts asks for one, at least; at most
/// twice this.
const STARTUP_ELECTION_DIVISOR: u32 = 4;

/// How far a follower has come, as its leader knows.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    pub(super) match_index: Index,
    pub(super) next_index: Index,
    /// When the newest round that it answered was sent.
    pub(super) last_seen: Instant,
    /// Answers in a row that say that it lacks what it had acknowledged.
    pub(super) regressed_replies: u32,
}

/// One replica of the log.
///
/// Memory is linear in the entries after the snapshot; an event costs time linear in the members
/// and in the entries that it carries.
#[derive(Debug)]
pub struct Replica {
    pub(super) host: Host,
    pub(super) nonce: u64,
    pub(super) hard_state: HardState,
    pub(super) snapshot: Snapshot,
    pub(super) entries: Vec<Entry>,
    pub(super) timing: Timing,
    pub(super) random: SmallRng,
    pub(super) role: Role,
    pub(super) leader: Option<Host>,
    pub(super) commit: Index,
    pub(super) applied: Index,
    pub(super) synced: Index,
    pub(super) election_deadline: Instant,
    pub(super) leader_seen: Option<Instant>,
    pub(super) votes: BTreeSet<Host>,
    pub(super) progress: BTreeMap<Host, Progress>,
    pub(super) regressed: BTreeSet<Host>,
    pub(super) round: u64,
    pub(super) last_broadcast: Instant,
    pub(super) recent_rounds: VecDeque<(u64, Instant)>,
    pub(super) leader_since: Instant,
    pub(super) next_sync: SyncId,
    pub(super) pending_sends: Vec<(SyncId, Message)>,
    pub(super) unsynced: Vec<(SyncId, Index)>,
    pub(super) output: Output,
}

/// # Life
impl Replica {
    /// A replica on `host` with what its disk kept.
    ///
    /// The first output raises the boot number; nothing counts before that is synced.
    #[must_use]
    pub fn new(host: Host, saved: SavedState, timing: Timing, seed: u64, now: Instant) -> Self {
        let last = saved
            .entries
            .last()
            .map_or(saved.snapshot.index, |entry| entry.index);
        let applied = saved.snapshot.index;
        let mut random = SmallRng::seed_from_u64(seed);
        let mut replica = Self {
            host,
            nonce: random.random(),
            hard_state: saved.hard_state,
            snapshot: saved.snapshot,
            entries: saved.entries,
            timing,
            random,
            role: Role::Follower,
            leader: None,
            commit: applied,
            applied,
            synced: last,
            election_deadline: now,
            leader_seen: None,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            regressed: BTreeSet::new(),
            round: 0,
            last_broadcast: now,
            recent_rounds: VecDeque::new(),
            leader_since: now,
            next_sync: SyncId(0),
            pending_sends: Vec::new(),
            unsynced: Vec::new(),
            output: Output::default(),
        };
        replica.hard_state.boot += 1;
        replica.write_hard_state();
        replica.reset_election_deadline(now);
        // One that starts asks soon whether an election would succeed: after all have lost power
        // nobody leads, and where somebody does, the others say no and nothing changes.
        let first = replica.timing.election / STARTUP_ELECTION_DIVISOR;
        replica.election_deadline = now + first + first.mul_f64(replica.random.random());
        replica
    }

    /// What a disk holds on which `host` founds a log of its own.
    #[must_use]
    pub fn founding_state(host: &Host, disk: Disk) -> SavedState {
        let member = Member {
            host: host.clone(),
            disk,
            voter: true,
        };
        let first = Entry {
            term: Term(0),
            index: Index(1),
            body: Body::Members(Members(vec![member])),
        };
        SavedState {
            hard_state: HardState {
                disk,
                ..HardState::default()
            },
            snapshot: Snapshot::default(),
            entries: vec![first],
        }
    }

    /// What a blank disk holds, before a leader takes it in.
    #[must_use]
    pub fn blank_state(disk: Disk) -> SavedState {
        SavedState {
            hard_state: HardState {
                disk,
                ..HardState::default()
            },
            ..SavedState::default()
        }
    }

    /// Takes what there is to do since the last call.
    #[must_use = "writes and messages that are dropped are lost"]
    pub fn take_output(&mut self) -> Output {
        let mut output = std::mem::take(&mut self.output);
        if !output.writes.is_empty() {
            output.sync = Some(self.next_sync);
            self.unsynced.push((self.next_sync, self.last_index()));
            self.next_sync = SyncId(self.next_sync.0 + 1);
        }
        output.commits = self.take_commits();
        output
    }

    /// The writes up to `sync` are on disk.
    pub fn on_synced(&mut self, sync: SyncId, now: Instant) {
        let done: Vec<_> = self
            .unsynced
            .iter()
            .filter(|pair| pair.0 <= sync)
            .copied()
            .collect();
        self.unsynced.retain(|pair| pair.0 > sync);
        if let Some((_, index)) = done.last() {
            // A cut may have come after that write: what it cut is not ours any more.
            let later_low = self.unsynced.iter().map(|pair| pair.1).min();
            self.synced = (*index)
                .min(later_low.unwrap_or(*index))
                .min(self.last_index());
        }
        let (ready, waiting): (Vec<_>, Vec<_>) = self
            .pending_sends
            .drain(..)
            .partition(|pair| pair.0 <= sync);
        self.pending_sends = waiting;
        let own_term = self.hard_state.term;
        let ready = ready.into_iter().map(|pair| pair.1);
        self.output
            .sends
            .extend(ready.filter(|message| message.term == own_term));
        if self.role == Role::Candidate {
            self.count_votes(now);
        }
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Instant) {
        if self.role == Role::Leader {
            self.tick_leader(now);
        } else if now >= self.election_deadline {
            self.start_pre_vote(now);
        }
    }

    /// A message has come.
    pub fn receive(&mut self, message: Message, now: Instant) {
        if message.to != self.host || message.to_disk != self.hard_state.disk {
            return;
        }
        if !self.accept_boot(&message) {
            return;
        }
        self.observe_term(&message, now);
        let Message {
            from,
            disk,
            term,
            payload: call,
            ..
        } = message;
        match call {
            Payload::PreVote {
                last_term,
                last_index,
            } => {
                self.on_pre_vote(&from, disk, term, (last_term, last_index), now);
            }
            Payload::PreVoteReply { granted } => self.on_pre_vote_reply(from, disk, granted, now),
            Payload::Vote {
                last_term,
                last_index,
            } => {
                self.on_vote(&from, disk, term, (last_term, last_index), now);
            }
            Payload::VoteReply { granted } => self.on_vote_reply(from, disk, term, granted, now),
            Payload::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                self.on_append(
                    &from,
                    disk,
                    term,
                    (prev_index, prev_term),
                    entries,
                    commit,
                    round,
                    now,
                );
            }
            Payload::InstallSnapshot { snapshot, round } => {
                self.on_install(&from, disk, term, snapshot, round, now);
            }
            Payload::AppendReply {
                matched,
                index,
                round,
            } => {
                self.on_append_reply(&from, disk, term, matched, index, round, now);
            }
        }
    }
}

/// # What events share
impl Replica {
    pub(super) fn write_hard_state(&mut self) {
        self.output
            .writes
            .push(Write::HardState(self.hard_state.clone()));
    }

    pub(super) fn send(&mut self, to: &Member, call: Payload) {
        let message = self.message(to, call);
        self.output.sends.push(message);
    }

    /// Sends once everything that is written up to now is on disk.
    pub(super) fn send_after_sync(&mut self, to: &Member, call: Payload) {
        let message = self.message(to, call);
        if self.output.writes.is_empty() && self.unsynced.is_empty() {
            self.output.sends.push(message);
        } else {
            self.pending_sends.push((self.newest_sync(), message));
        }
    }

    /// The number that the newest write has or will have.
    fn newest_sync(&self) -> SyncId {
        if self.output.writes.is_empty() {
            SyncId(self.next_sync.0.saturating_sub(1))
        } else {
            self.next_sync
        }
    }

    fn message(&self, to: &Member, call: Payload) -> Message {
        Message {
            from: self.host.clone(),
            disk: self.hard_state.disk,
            boot: self.hard_state.boot,
            nonce: self.nonce,
            to: to.host.clone(),
            to_disk: to.disk,
            term: self.hard_state.term,
            payload: call,
        }
    }

    pub(super) fn other_members(&self) -> Vec<Member> {
        let others = self
            .members()
            .0
            .iter()
            .filter(|member| member.host != self.host);
        others.cloned().collect()
    }

    /// Draws the moment of the next election.
    pub(super) fn reset_election_deadline(&mut self, now: Instant) {
        let spread = self.random.random_range(0.0..1.0);
        self.election_deadline = now + self.timing.election + self.timing.election.mul_f64(spread);
    }

    /// Whether the sender's disk is not an older copy of itself.
    fn accept_boot(&mut self, message: &Message) -> bool {
        let seen = self
            .hard_state
            .seen_boots
            .iter_mut()
            .find(|seen| seen.disk == message.disk);
        let boot = Boot {
            disk: message.disk,
            number: message.boot,
            nonce: message.nonce,
        };
        match seen {
            Some(seen) if *seen == boot => return true,
            Some(seen) if seen.number >= boot.number => return false,
            Some(seen) => *seen = boot,
            None => self.hard_state.seen_boots.push(boot),
        }
        self.write_hard_state();
        true
    }

    /// Follows a newer term; a probe names no term that anyone has entered.
    fn observe_term(&mut self, message: &Message, now: Instant) {
        if message.term <= self.hard_state.term
            || matches!(message.payload, Payload::PreVote { .. })
        {
            return;
        }
        if matches!(message.payload, Payload::Vote { .. }) && self.has_recent_leader(now) {
            return;
        }
        self.follow(message.term, None, now);
    }

    pub(super) fn follow(&mut self, term: Term, leader: Option<Host>, now: Instant) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.write_hard_state();
        }
        if self.role != Role::Follower {
            self.reset_election_deadline(now);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
    }

    /// Whether a leader was heard so lately that an election would only disturb it.
    pub(super) fn has_recent_leader(&self, now: Instant) -> bool {
        match self.role {
            Role::Leader => true,
            _ => self
                .leader_seen
                .is_some_and(|heard| now.since(heard) < self.timing.election),
        }
    }

    fn take_commits(&mut self) -> Vec<Entry> {
        let mut commits = Vec::new();
        while self.applied < self.commit {
            self.applied = self.applied.next();
            let entry = self.entry(self.applied);
            debug_assert!(entry.is_some(), "a committed entry is in the log");
            commits.extend(entry.cloned());
        }
        commits
    }
}

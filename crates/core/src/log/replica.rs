//! The replica: its state, its events, and what the events share.

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

/// The role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks the voters whether an election would succeed.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Leads the term.
    Leader,
}

/// Timing of heartbeats and elections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Minimum time without a leader before an election; the maximum is twice this.
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

/// A replica that has just started waits this fraction of the election timeout before its first
/// pre-vote; the maximum is twice that.
const STARTUP_ELECTION_DIVISOR: u32 = 4;

/// The progress of a follower, as its leader knows it.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    pub(super) match_index: Index,
    pub(super) next_index: Index,
    /// When the newest heartbeat round that it responded to was sent.
    pub(super) last_seen: Instant,
    /// How many responses without an acknowledgement in between have reported that it lacks entries
    /// which it had acknowledged.
    pub(super) regressed_replies: u32,
}

/// One replica of the log.
///
/// Memory is linear in the entries after the snapshot; an event takes time linear in the members
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
    /// Whether the boot number is on disk. Peers that saw one which is not would refuse the next start.
    boot_synced: bool,
    pub(super) pending_sends: Vec<(SyncId, Message)>,
    pub(super) unsynced: Vec<(SyncId, Index)>,
    /// The newest batch with a hard state or a leader's snapshot, until it is synced.
    pub(super) unsynced_state: Option<SyncId>,
    /// When it last answered a leader although a sync was pending.
    answered_unsynced_at: Option<Instant>,
    pub(super) output: Output,
}

/// # Creation and events
impl Replica {
    /// Creates the replica on `host` from what its disk has stored.
    ///
    /// Its first output increments the boot number; no message is sent before that is synced.
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
            boot_synced: false,
            pending_sends: Vec::new(),
            unsynced: Vec::new(),
            unsynced_state: None,
            answered_unsynced_at: None,
            output: Output::default(),
        };
        replica.hard_state.boot += 1;
        replica.write_hard_state();
        replica.reset_election_deadline(now);
        // The first pre-vote comes early, because after a power failure of all hosts nobody leads.
        // If there is a leader, the others decline and nothing changes.
        let startup_delay = replica.timing.election / STARTUP_ELECTION_DIVISOR;
        replica.election_deadline =
            now + startup_delay + startup_delay.mul_f64(replica.random.random());
        replica
    }

    /// The initial state of the disk on which `host` founds a new log.
    #[must_use]
    pub fn founding_state(host: &Host, disk: Disk) -> SavedState {
        let member = Member {
            host: host.clone(),
            disk,
            voter: true,
        };
        Self::state_with(disk, vec![member])
    }

    /// The initial state of `host`'s disk if several hosts found a new log together; `None` if it is not one of them.
    ///
    /// All must be given the same `founders`, and must not use it again on a blank disk: a founder that has lost its disk starts
    /// from [`Replica::blank_state`]. A majority of the founders can begin, whichever of them are missing.
    #[must_use]
    pub fn shared_founding_state(host: &Host, founders: &BTreeSet<Host>) -> Option<SavedState> {
        founders.get(host)?;
        let members = founders.iter().map(|founder| Member {
            host: founder.clone(),
            disk: Disk::of_founder(founder, founders),
            voter: true,
        });
        let disk = Disk::of_founder(host, founders);
        Some(Self::state_with(disk, members.collect()))
    }

    /// The state of a disk with a log whose first entry has `members`.
    fn state_with(disk: Disk, members: Vec<Member>) -> SavedState {
        let first_entry = Entry {
            term: Term(0),
            index: Index(1),
            body: Body::Members(Members(members)),
        };
        SavedState {
            hard_state: HardState {
                disk,
                ..HardState::default()
            },
            snapshot: Snapshot::default(),
            entries: vec![first_entry],
        }
    }

    /// The initial state of a blank disk, before a leader admits its replica.
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

    /// Takes what the caller must do since the last call.
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

    /// Reports that the writes up to `sync` are on disk.
    pub fn on_synced(&mut self, sync: SyncId, now: Instant) {
        self.boot_synced = true;
        let finished: Vec<_> = self
            .unsynced
            .iter()
            .filter(|pair| pair.0 <= sync)
            .copied()
            .collect();
        self.unsynced.retain(|pair| pair.0 > sync);
        self.unsynced_state.take_if(|state| *state <= sync);
        if let Some((_, index)) = finished.last() {
            // A later write may have truncated the log: the entries that it dropped do not count.
            let lowest_later = self.unsynced.iter().map(|pair| pair.1).min();
            self.synced = (*index)
                .min(lowest_later.unwrap_or(*index))
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

    /// Reports that time has passed: sends heartbeats, or starts an election if one is due.
    pub fn tick(&mut self, now: Instant) {
        if self.role == Role::Leader {
            self.tick_leader(now);
        } else if now >= self.election_deadline {
            self.start_pre_vote(now);
        }
    }

    /// Handles a message from another replica.
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
            payload,
            ..
        } = message;
        match payload {
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

/// # Helpers of the events
impl Replica {
    pub(super) fn write_hard_state(&mut self) {
        self.unsynced_state = Some(self.next_sync);
        self.output
            .writes
            .push(Write::HardState(self.hard_state.clone()));
    }

    /// Sends the message now, or once the boot number is on disk.
    pub(super) fn send(&mut self, to: &Member, payload: Payload) {
        if !self.boot_synced {
            self.send_after_sync(to, payload);
            return;
        }
        let message = self.message(to, payload);
        self.output.sends.push(message);
    }

    /// Sends the message once everything written up to now is on disk.
    pub(super) fn send_after_sync(&mut self, to: &Member, payload: Payload) {
        let message = self.message(to, payload);
        if self.is_synced() {
            self.output.sends.push(message);
        } else {
            self.pending_sends.push((self.newest_sync(), message));
        }
    }

    /// Whether everything written up to now is on disk.
    pub(super) fn is_synced(&self) -> bool {
        self.output.writes.is_empty() && self.unsynced.is_empty()
    }

    /// Whether to answer a leader before the pending sync ends, so that it knows that it still reaches this replica.
    ///
    /// Its term must be on disk, and so must a snapshot that replaced its entries. Replies are limited to two a heartbeat, as
    /// most syncs end soon.
    pub(super) fn must_answer_unsynced(&mut self, now: Instant) -> bool {
        let interval = self.timing.heartbeat / 2;
        let is_recent = |at| now.since(at) < interval;
        if self.is_synced()
            || self.unsynced_state.is_some()
            || self.answered_unsynced_at.is_some_and(is_recent)
        {
            return false;
        }
        self.answered_unsynced_at = Some(now);
        true
    }

    /// The number of the batch that has, or will have, the newest write.
    fn newest_sync(&self) -> SyncId {
        if self.output.writes.is_empty() {
            SyncId(self.next_sync.0.saturating_sub(1))
        } else {
            self.next_sync
        }
    }

    fn message(&self, to: &Member, payload: Payload) -> Message {
        Message {
            from: self.host.clone(),
            disk: self.hard_state.disk,
            boot: self.hard_state.boot,
            nonce: self.nonce,
            to: to.host.clone(),
            to_disk: to.disk,
            term: self.hard_state.term,
            payload,
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

    /// Sets the election deadline to a random time between one and two election timeouts from `now`.
    pub(super) fn reset_election_deadline(&mut self, now: Instant) {
        let spread = self.random.random_range(0.0..1.0);
        self.election_deadline = now + self.timing.election + self.timing.election.mul_f64(spread);
    }

    /// Records the start that `message` was sent from; returns false if the sender's disk is an older
    /// copy of one that was seen before.
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

    /// Moves to the term of `message` if that is newer.
    ///
    /// A pre-vote is no reason, since its sender has not entered a new term. Neither is a request for
    /// a vote while there is a leader.
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

    /// Whether a leader exists, or has sent a message within the election timeout, so that an election
    /// would only disturb it.
    pub(super) fn has_recent_leader(&self, now: Instant) -> bool {
        match self.role {
            Role::Leader => true,
            _ => self
                .leader_seen
                .is_some_and(|seen| now.since(seen) < self.timing.election),
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

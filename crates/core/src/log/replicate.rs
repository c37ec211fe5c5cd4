//! Replication of the leader's log to the followers, and the commit of entries.

use crate::clock::Instant;
use crate::code::Code;
use crate::code::Refusal;
use crate::id::Disk;
use crate::id::Host;
use crate::id::Index;
use crate::id::Term;

use super::Body;
use super::Entry;
use super::Member;
use super::Payload;
use super::Replica;
use super::Role;
use super::Snapshot;
use super::Write;
use super::replica::Progress;

/// Maximum number of entries in one message.
const MAX_ENTRIES_PER_MESSAGE: usize = 256;

/// A replica counts as regressed after this many responses, without an acknowledgement in between,
/// that it lacks entries which it had acknowledged. A single one may only be late.
const REGRESSED_REPLIES_THRESHOLD: u32 = 5;

/// Maximum number of heartbeat rounds whose send time is stored.
const MAX_RECENT_ROUNDS: usize = 64;

/// # Leading
impl Replica {
    pub(super) fn become_leader(&mut self, now: Instant) {
        self.role = Role::Leader;
        self.leader = Some(self.host.clone());
        self.leader_since = now;
        self.progress.clear();
        self.regressed.clear();
        self.recent_rounds.clear();
        let next_index = self.last_index().next();
        for member in self.other_members() {
            let progress = Progress {
                match_index: Index(0),
                next_index,
                last_seen: now,
                regressed_replies: 0,
            };
            self.progress.insert(member.host, progress);
        }
        self.append(Body::Noop);
        self.broadcast(now);
    }

    /// Sends heartbeats when due, and steps down if no majority responds any more.
    pub(super) fn tick_leader(&mut self, now: Instant) {
        if !self.reaches_majority(now) {
            let term = self.hard_state.term;
            self.follow(term, None, now);
            return;
        }
        if now.since(self.last_broadcast) >= self.timing.heartbeat {
            self.broadcast(now);
        }
    }

    /// Whether a majority has responded to a heartbeat sent within the last election timeout.
    ///
    /// While this holds, no other replica can become leader: each replica of that majority declines to
    /// vote for an election timeout after it received a message of this leader, and it cannot have
    /// received that before it was sent.
    #[must_use]
    pub fn reaches_majority(&self, now: Instant) -> bool {
        let voters = self.members().voters();
        let count = voters
            .filter(|member| self.is_reachable(&member.host, now))
            .count();
        count >= self.members().majority()
    }

    /// Whether a majority has responded to a heartbeat round that this leader sent at `at` or later.
    ///
    /// Unlike [`Replica::reaches_majority`], it doesn't rely on others waiting for an election timeout:
    /// if another leader had been elected before `at`, some replica of the majority would have reported
    /// the newer term.
    #[must_use]
    pub fn is_confirmed_since(&self, at: Instant) -> bool {
        let voters = self.members().voters();
        let responded = |host: &Host| {
            let progress = self.progress.get(host);
            host == &self.host || progress.is_some_and(|progress| progress.last_seen >= at)
        };
        let count = voters.filter(|member| responded(&member.host)).count();
        self.has_committed_in_term() && count >= self.members().majority()
    }

    /// Whether the replica on `host` has responded to a heartbeat sent within the last election timeout.
    #[must_use]
    pub fn is_reachable(&self, host: &Host, now: Instant) -> bool {
        let last_seen = self.progress.get(host).map(|progress| progress.last_seen);
        host == &self.host
            || last_seen.is_some_and(|last_seen| now.since(last_seen) < self.timing.election)
    }

    /// Appends a command to the log and sends it to the followers.
    ///
    /// # Errors
    ///
    /// [`Code::NotLeader`], with the leader's name if it is known.
    pub fn propose(&mut self, data: Vec<u8>, now: Instant) -> Result<Index, Refusal> {
        self.ensure_leader()?;
        let index = self.append(Body::Data(data));
        self.broadcast(now);
        Ok(index)
    }

    pub(super) fn ensure_leader(&self) -> Result<(), Refusal> {
        if self.role == Role::Leader {
            return Ok(());
        }
        let leader = self.leader.as_ref().map_or("unknown", Host::as_str);
        Err(Refusal::new(
            Code::NotLeader,
            format!("this replica does not lead; leader: `{leader}`"),
        ))
    }

    /// Whether this replica leads and has committed an entry of its own term, so that it knows every
    /// entry that earlier leaders committed.
    #[must_use]
    pub fn has_committed_in_term(&self) -> bool {
        self.role == Role::Leader && self.term_at(self.commit) == Some(self.hard_state.term)
    }

    pub(super) fn append(&mut self, body: Body) -> Index {
        let index = self.last_index().next();
        let entry = Entry {
            term: self.hard_state.term,
            index,
            body,
        };
        self.output.writes.push(Write::Entry(entry.clone()));
        self.entries.push(entry);
        index
    }

    pub(super) fn broadcast(&mut self, now: Instant) {
        self.last_broadcast = now;
        self.round += 1;
        self.recent_rounds.push_back((self.round, now));
        if self.recent_rounds.len() > MAX_RECENT_ROUNDS {
            self.recent_rounds.pop_front();
        }
        for member in self.other_members() {
            self.send_entries(&member, now);
        }
    }

    fn send_entries(&mut self, member: &Member, now: Instant) {
        let next_index = self.last_index().next();
        let initial = Progress {
            match_index: Index(0),
            next_index,
            last_seen: now,
            regressed_replies: 0,
        };
        let next_index = self
            .progress
            .entry(member.host.clone())
            .or_insert(initial)
            .next_index;
        let round = self.round;
        let prev_index = Index(next_index.0 - 1);
        let Some(prev_term) = self.term_at(prev_index) else {
            let snapshot = self.snapshot.clone();
            self.mark_sent(&member.host, snapshot.index);
            self.send(member, Payload::InstallSnapshot { snapshot, round });
            return;
        };
        let after = self
            .entries
            .iter()
            .filter(|entry| entry.index >= next_index);
        let entries: Vec<_> = after.take(MAX_ENTRIES_PER_MESSAGE).cloned().collect();
        if let Some(last) = entries.last() {
            self.mark_sent(&member.host, last.index);
        }
        let commit = self.commit;
        self.send(
            member,
            Payload::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            },
        );
    }

    /// Assumes that everything up to `index` arrives at `host`. If the follower lacks it, it reports so
    /// and the entries are sent again.
    fn mark_sent(&mut self, host: &Host, index: Index) {
        if let Some(progress) = self.progress.get_mut(host) {
            progress.next_index = index.next();
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_append_reply(
        &mut self,
        from: &Host,
        disk: Disk,
        term: Term,
        matched: bool,
        index: Index,
        round: u64,
        now: Instant,
    ) {
        if self.role != Role::Leader
            || term != self.hard_state.term
            || !self.members().contains(from, disk)
        {
            return;
        }
        let last = self.last_index();
        let Some(progress) = self.progress.get_mut(from) else {
            return;
        };
        if let Some((_, sent)) = self.recent_rounds.iter().find(|sent| sent.0 == round) {
            progress.last_seen = progress.last_seen.max(*sent);
        }
        if matched {
            progress.match_index = progress.match_index.max(index);
            progress.next_index = progress.next_index.max(progress.match_index.next());
            progress.regressed_replies = 0;
        } else {
            // `next_index` never goes back below what the replica has acknowledged: a disk that lost
            // that is not the same disk. One such response may only be late; several without an
            // acknowledgement in between are not.
            progress.regressed_replies += u32::from(index < progress.match_index);
            if progress.regressed_replies >= REGRESSED_REPLIES_THRESHOLD {
                self.regressed.insert(from.clone());
            }
            let fallback = Index(progress.next_index.0.saturating_sub(1)).min(index.next());
            progress.next_index = fallback.max(progress.match_index.next());
        }
        let is_behind = progress.next_index <= last;
        self.advance_commit();
        if is_behind && let Some(member) = self.members().get(from).cloned() {
            self.send_entries(&member, now);
        }
    }

    /// Commits up to the highest index that a majority has synced, if that entry is of this term.
    pub(super) fn advance_commit(&mut self) {
        let members = self.members();
        let mut match_indexes: Vec<_> = members
            .voters()
            .map(|member| self.match_index(&member.host))
            .collect();
        match_indexes.sort_unstable();
        let Some(position) = match_indexes.len().checked_sub(members.majority()) else {
            return;
        };
        let index = match_indexes[position];
        if index > self.commit && self.term_at(index) == Some(self.hard_state.term) {
            self.commit = index;
        }
    }

    pub(super) fn match_index(&self, host: &Host) -> Index {
        if host == &self.host {
            return self.synced;
        }
        self.progress
            .get(host)
            .map_or(Index(0), |progress| progress.match_index)
    }
}

/// # Following
impl Replica {
    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_append(
        &mut self,
        from: &Host,
        disk: Disk,
        term: Term,
        prev: (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
        now: Instant,
    ) {
        let leader = Member {
            host: from.clone(),
            disk,
            voter: true,
        };
        if term < self.hard_state.term {
            let index = self.last_index();
            self.send(
                &leader,
                Payload::AppendReply {
                    matched: false,
                    index,
                    round,
                },
            );
            return;
        }
        self.follow_leader(from, term, now);
        let (prev_index, prev_term) = prev;
        let has_prev =
            prev_index < self.snapshot.index || self.term_at(prev_index) == Some(prev_term);
        if !has_prev {
            let index = self.last_index().min(Index(prev_index.0.saturating_sub(1)));
            self.send(
                &leader,
                Payload::AppendReply {
                    matched: false,
                    index,
                    round,
                },
            );
            return;
        }
        let index = Index(prev_index.0 + entries.len() as u64).max(self.snapshot.index);
        for entry in entries {
            self.store_entry(entry);
        }
        self.commit = self.commit.max(commit.min(index));
        let reply = |index| Payload::AppendReply {
            matched: true,
            index,
            round,
        };
        if self.must_answer_unsynced(now) {
            self.send(&leader, reply(index.min(self.synced)));
        }
        self.send_after_sync(&leader, reply(index));
    }

    fn follow_leader(&mut self, from: &Host, term: Term, now: Instant) {
        self.follow(term, Some(from.clone()), now);
        self.leader_seen = Some(now);
        self.reset_election_deadline(now);
    }

    /// Stores one entry of the leader at its index, and drops any entries that conflict with it.
    fn store_entry(&mut self, entry: Entry) {
        if entry.index <= self.snapshot.index || self.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if self.term_at(entry.index).is_some() {
            debug_assert!(
                entry.index > self.commit,
                "a committed entry is never dropped"
            );
            let before = Index(entry.index.0 - 1);
            self.entries.retain(|stored| stored.index <= before);
            self.synced = self.synced.min(before);
            for pair in &mut self.unsynced {
                pair.1 = pair.1.min(before);
            }
            self.output.writes.push(Write::Truncate(before));
        }
        self.output.writes.push(Write::Entry(entry.clone()));
        self.entries.push(entry);
    }

    pub(super) fn on_install(
        &mut self,
        from: &Host,
        disk: Disk,
        term: Term,
        snapshot: Snapshot,
        round: u64,
        now: Instant,
    ) {
        if term < self.hard_state.term {
            return;
        }
        self.follow_leader(from, term, now);
        let index = snapshot.index;
        if index > self.commit {
            self.entries.clear();
            self.output.writes.push(Write::Truncate(Index(0)));
            self.output.writes.push(Write::Snapshot(snapshot.clone()));
            self.snapshot = snapshot.clone();
            self.commit = index;
            self.applied = index;
            self.synced = self.synced.min(index);
            self.unsynced_state = Some(self.next_sync);
            self.output.install = Some(snapshot);
            self.output.commits.clear();
        }
        let leader = Member {
            host: from.clone(),
            disk,
            voter: true,
        };
        self.send_after_sync(
            &leader,
            Payload::AppendReply {
                matched: true,
                index,
                round,
            },
        );
    }

    /// Replaces the entries up to the last applied one by a snapshot with `state`.
    pub fn compact(&mut self, state: Vec<u8>) {
        let index = self.applied;
        let Some(term) = self.term_at(index) else {
            return;
        };
        if index == self.snapshot.index {
            return;
        }
        let snapshot = Snapshot {
            index,
            term,
            members: self.members_at(index),
            state,
        };
        self.output.writes.push(Write::Snapshot(snapshot.clone()));
        self.entries.retain(|entry| entry.index > index);
        self.snapshot = snapshot;
    }
}

//! Elections in two phases: a pre-vote, which changes neither terms nor votes, then a vote, which
//! each voter syncs to disk before it replies.

use rand::RngExt;

use crate::clock::Instant;
use crate::id::Disk;
use crate::id::Host;
use crate::id::Index;
use crate::id::Term;

use super::Member;
use super::Payload;
use super::Replica;
use super::Role;

/// A candidate that was refused a vote starts the next election within this fraction of the election timeout.
const MAX_RETRY_FRACTION: f64 = 0.5;

/// Term and index of a log's last entry.
type Position = (Term, Index);

/// # Elections
impl Replica {
    /// Asks the voters whether an election would succeed, without a new term.
    pub(super) fn start_pre_vote(&mut self, now: Instant) {
        self.reset_election_deadline(now);
        self.leader = None;
        if !self.members().is_voter(&self.host, self.hard_state.disk) {
            return;
        }
        self.role = Role::PreCandidate;
        self.votes.clear();
        self.votes.insert(self.host.clone());
        let (last_term, last_index) = self.last_position();
        self.send_to_voters(&Payload::PreVote {
            last_term,
            last_index,
        });
        self.count_pre_votes(now);
    }

    pub(super) fn on_pre_vote(
        &mut self,
        from: &Host,
        disk: Disk,
        term: Term,
        last: Position,
        now: Instant,
    ) {
        let Some(sender) = self.reply_target(from, disk) else {
            return;
        };
        let granted = self.is_admitted()
            && term >= self.hard_state.term
            && last >= self.last_position()
            && !self.has_recent_leader(now);
        self.send(&sender, Payload::PreVoteReply { granted });
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        from: Host,
        disk: Disk,
        granted: bool,
        now: Instant,
    ) {
        if self.role == Role::PreCandidate && granted && self.members().is_voter(&from, disk) {
            self.votes.insert(from);
            self.count_pre_votes(now);
        }
    }

    fn count_pre_votes(&mut self, now: Instant) {
        if self.votes.len() >= self.members().majority() {
            self.start_election(now);
        }
    }

    /// Enters the next term, votes for itself and requests the votes of the others.
    fn start_election(&mut self, now: Instant) {
        self.reset_election_deadline(now);
        self.role = Role::Candidate;
        self.hard_state.term = self.hard_state.term.next();
        self.hard_state.vote = Some(self.host.clone());
        self.write_hard_state();
        self.votes.clear();
        let (last_term, last_index) = self.last_position();
        let payload = Payload::Vote {
            last_term,
            last_index,
        };
        for member in self.other_members() {
            if member.voter {
                self.send_after_sync(&member, payload.clone());
            }
        }
    }

    pub(super) fn on_vote(
        &mut self,
        from: &Host,
        disk: Disk,
        term: Term,
        last: Position,
        now: Instant,
    ) {
        let Some(sender) = self.reply_target(from, disk) else {
            return;
        };
        let vote_available = self
            .hard_state
            .vote
            .as_ref()
            .is_none_or(|vote| vote == from);
        let granted = self.is_admitted()
            && term == self.hard_state.term
            && self.role == Role::Follower
            && vote_available
            && last >= self.last_position();
        if granted {
            if self.hard_state.vote.is_none() {
                self.hard_state.vote = Some(from.clone());
                self.write_hard_state();
            }
            self.reset_election_deadline(now);
        }
        self.send_after_sync(&sender, Payload::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(
        &mut self,
        from: Host,
        disk: Disk,
        term: Term,
        granted: bool,
        now: Instant,
    ) {
        let is_valid = term == self.hard_state.term && self.members().is_voter(&from, disk);
        if self.role != Role::Candidate || !is_valid {
            return;
        }
        if granted {
            self.votes.insert(from);
            self.count_votes(now);
        } else {
            self.retry_election(now);
        }
    }

    /// Starts the next election soon, as another candidate may have split the vote.
    ///
    /// The pre-vote has shown that no leader is known, so there is none to wait for.
    fn retry_election(&mut self, now: Instant) {
        let spread = self.random.random_range(0.0..MAX_RETRY_FRACTION);
        let retry = now + self.timing.election.mul_f64(spread);
        self.election_deadline = self.election_deadline.min(retry);
    }

    /// Becomes leader once a majority has voted for this replica. Its own vote counts once it is synced.
    pub(super) fn count_votes(&mut self, now: Instant) {
        if self.is_synced() {
            self.votes.insert(self.host.clone());
        }
        if self.votes.len() >= self.members().majority() {
            self.become_leader(now);
        }
    }

    fn send_to_voters(&mut self, payload: &Payload) {
        for member in self.other_members() {
            if member.voter {
                self.send(&member, payload.clone());
            }
        }
    }

    pub(super) fn last_position(&self) -> Position {
        (self.last_term(), self.last_index())
    }

    /// Whether this replica, with this disk, is a member. A blank disk that has not been admitted never
    /// votes.
    fn is_admitted(&self) -> bool {
        self.members().contains(&self.host, self.hard_state.disk)
    }

    /// The member to which a response to `from` goes; `None` if that host is known with another disk.
    ///
    /// The sender may not be in this replica's log yet.
    #[allow(clippy::unnecessary_wraps)]
    fn reply_target(&self, from: &Host, disk: Disk) -> Option<Member> {
        match self.members().get(from) {
            Some(member) if member.disk != disk => None,
            Some(member) => Some(member.clone()),
            None => Some(Member {
                host: from.clone(),
                disk,
                voter: false,
            }),
        }
    }
}

//! Elections: a probe that changes nothing, then a vote that is synced.

use crate::clock::Instant;
use crate::id::Disk;
use crate::id::Host;
use crate::id::Index;
use crate::id::Term;

use super::Call;
use super::Member;
use super::Replica;
use super::Role;

/// Term and place of a log's last entry.
type Last = (Term, Index);

/// # Elections
impl Replica {
    /// Asks whether an election would succeed; the term stays as it is.
    pub(super) fn probe(&mut self, now: Instant) {
        self.rest(now);
        self.leader = None;
        if !self.members().is_voter(&self.host, self.hard.disk) {
            return;
        }
        self.role = Role::Prober;
        self.votes.clear();
        self.votes.insert(self.host.clone());
        let (last_term, last_index) = self.last();
        self.ask_voters(&Call::Probe {
            last_term,
            last_index,
        });
        self.count_probes(now);
    }

    pub(super) fn on_probe(
        &mut self,
        from: &Host,
        disk: Disk,
        term: Term,
        last: Last,
        now: Instant,
    ) {
        let Some(sender) = self.sender(from, disk) else {
            return;
        };
        let granted = self.may_vote()
            && term >= self.hard.term
            && last >= self.last()
            && !self.hears_leader(now);
        self.send(&sender, Call::ProbeReply { granted });
    }

    pub(super) fn on_probe_reply(&mut self, from: Host, disk: Disk, granted: bool, now: Instant) {
        if self.role == Role::Prober && granted && self.members().is_voter(&from, disk) {
            self.votes.insert(from);
            self.count_probes(now);
        }
    }

    fn count_probes(&mut self, now: Instant) {
        if self.votes.len() >= self.members().majority() {
            self.stand(now);
        }
    }

    /// Enters the next term and votes for itself.
    fn stand(&mut self, now: Instant) {
        self.rest(now);
        self.role = Role::Candidate;
        self.hard.term = self.hard.term.next();
        self.hard.vote = Some(self.host.clone());
        self.write_hard();
        self.votes.clear();
        let (last_term, last_index) = self.last();
        let call = Call::Vote {
            last_term,
            last_index,
        };
        for member in self.others() {
            if member.voter {
                self.send_after_sync(&member, call.clone());
            }
        }
    }

    pub(super) fn on_vote(
        &mut self,
        from: &Host,
        disk: Disk,
        term: Term,
        last: Last,
        now: Instant,
    ) {
        let Some(sender) = self.sender(from, disk) else {
            return;
        };
        let free = self.hard.vote.as_ref().is_none_or(|vote| vote == from);
        let granted = self.may_vote()
            && term == self.hard.term
            && self.role == Role::Follower
            && free
            && last >= self.last();
        if granted {
            if self.hard.vote.is_none() {
                self.hard.vote = Some(from.clone());
                self.write_hard();
            }
            self.rest(now);
        }
        self.send_after_sync(&sender, Call::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(
        &mut self,
        from: Host,
        disk: Disk,
        term: Term,
        granted: bool,
        now: Instant,
    ) {
        let counts = granted && term == self.hard.term && self.members().is_voter(&from, disk);
        if self.role == Role::Candidate && counts {
            self.votes.insert(from);
            self.count_votes(now);
        }
    }

    /// Leads once a majority has voted; its own vote counts once it is synced.
    pub(super) fn count_votes(&mut self, now: Instant) {
        if self.unsynced.is_empty() && self.output.writes.is_empty() {
            self.votes.insert(self.host.clone());
        }
        if self.votes.len() >= self.members().majority() {
            self.take_lead(now);
        }
    }

    fn ask_voters(&mut self, call: &Call) {
        for member in self.others() {
            if member.voter {
                self.send(&member, call.clone());
            }
        }
    }

    pub(super) fn last(&self) -> Last {
        (self.last_term(), self.last_index())
    }

    /// Whether this replica's disk has been taken in: a blank one never votes.
    fn may_vote(&self) -> bool {
        self.members().has(&self.host, self.hard.disk)
    }

    /// Where to answer a replica that may not be in this one's log yet.
    #[allow(clippy::unnecessary_wraps)]
    fn sender(&self, from: &Host, disk: Disk) -> Option<Member> {
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

//! Changes of the replica set: one replica at a time. A new replica starts as a learner and becomes
//! a voter once it has caught up.

use crate::clock::Instant;
use crate::code::Code;
use crate::code::Refusal;
use crate::id::Disk;
use crate::id::Host;
use crate::id::Index;

use super::Body;
use super::Member;
use super::Members;
use super::Replica;

/// # Changes of the replica set
impl Replica {
    /// Admits the replica on `host` with `disk` as a learner.
    ///
    /// # Errors
    ///
    /// [`Code::NotLeader`]; [`Code::InUse`] while another change is in progress, or if the host has a
    /// replica on another disk, which must be removed first.
    pub fn admit(&mut self, host: &Host, disk: Disk, now: Instant) -> Result<(), Refusal> {
        self.ensure_change_allowed()?;
        if self.members().contains(host, disk) {
            return Ok(());
        }
        if self.members().get(host).is_some() {
            let message =
                format!("`{host}` has a replica on another disk; remove that replica first");
            return Err(Refusal::new(Code::InUse, message));
        }
        let member = Member {
            host: host.clone(),
            disk,
            voter: false,
        };
        let next = self.members().with(member);
        self.change_members(next, now);
        Ok(())
    }

    /// Replaces the replica on `host` by a learner on `disk`, in one change. `disk` may be the same if it has lost entries.
    ///
    /// The learner is a member from then on, so that any later leader can promote it.
    ///
    /// # Errors
    ///
    /// [`Code::NotLeader`]; [`Code::InUse`] while another change is in progress; [`Code::Unknown`] if the host has no replica;
    /// [`Code::Floor`] if no voter would remain, or if the replica is this leader itself.
    pub fn replace(&mut self, host: &Host, disk: Disk, now: Instant) -> Result<(), Refusal> {
        self.ensure_change_allowed()?;
        self.ensure_not_self(host)?;
        if self.members().get(host).is_none() {
            return Err(no_replica(host));
        }
        let next = self.members().with(Member {
            host: host.clone(),
            disk,
            voter: false,
        });
        self.drop_progress_and_change(host, next, now)
    }

    /// Makes the learner on `host` a voter, if it has every committed entry or its vote raises no majority.
    ///
    /// # Errors
    ///
    /// [`Code::NotLeader`]; [`Code::InUse`] while another change is in progress or the learner has
    /// not caught up; [`Code::Unknown`] if the host has no replica.
    pub fn promote(&mut self, host: &Host, now: Instant) -> Result<(), Refusal> {
        self.ensure_change_allowed()?;
        let Some(member) = self.members().get(host).cloned() else {
            return Err(no_replica(host));
        };
        if member.voter {
            return Ok(());
        }
        if !self.is_promotable(host) {
            return Err(Refusal::new(
                Code::InUse,
                format!("the replica on `{host}` has not caught up"),
            ));
        }
        let next = self.members().with(Member {
            voter: true,
            ..member
        });
        self.change_members(next, now);
        Ok(())
    }

    /// Removes the replica on `host`.
    ///
    /// # Errors
    ///
    /// [`Code::NotLeader`]; [`Code::InUse`] while another change is in progress; [`Code::Floor`] if
    /// no voter would remain, or if the replica is this leader itself.
    pub fn remove(&mut self, host: &Host, now: Instant) -> Result<(), Refusal> {
        self.ensure_change_allowed()?;
        self.ensure_not_self(host)?;
        let next = self.members().without(host);
        self.drop_progress_and_change(host, next, now)
    }

    /// The replicas that have lost entries that they had acknowledged to this leader. Their disks are
    /// older copies of themselves, so they must be removed or replaced.
    pub fn regressed(&self) -> impl Iterator<Item = &Host> {
        let members = self.members();
        self.regressed
            .iter()
            .filter(|host| members.get(host).is_some())
    }

    /// The learners that can be promoted: those that have every committed entry, and all of them if one more vote raises no
    /// majority.
    ///
    /// A learner that is not caught up cannot acknowledge new entries. Where its vote raises the majority, the others might then
    /// lack one. In a set with an even number of voters it does not, and with the vote the set tolerates a loss that it would
    /// not tolerate without, even while the learner is lost again.
    #[must_use]
    pub fn promotable_learners(&self) -> Vec<Host> {
        let learners = self.members().0.iter().filter(|member| !member.voter);
        let promotable = learners.filter(|member| self.is_promotable(&member.host));
        promotable.map(|member| member.host.clone()).collect()
    }

    fn is_promotable(&self, learner: &Host) -> bool {
        let members = self.members();
        let match_index = self.match_index(learner);
        let is_caught_up = match_index > Index(0) && match_index >= self.commit;
        is_caught_up || members.voters().count().is_multiple_of(2)
    }

    fn ensure_not_self(&self, host: &Host) -> Result<(), Refusal> {
        if host == &self.host {
            let message = "a leader cannot remove itself; stop its process first";
            return Err(Refusal::new(Code::Floor, message));
        }
        Ok(())
    }

    fn ensure_change_allowed(&self) -> Result<(), Refusal> {
        self.ensure_leader()?;
        let newest_first = self.entries.iter().rev();
        let mut changes = newest_first.filter(|entry| matches!(entry.body, Body::Members(_)));
        let in_progress = changes
            .next()
            .is_some_and(|entry| entry.index > self.commit);
        if in_progress || !self.has_committed_in_term() {
            let message = "another change of the replica set is in progress";
            return Err(Refusal::new(Code::InUse, message));
        }
        Ok(())
    }

    /// Changes the replica set to `next`, in which the replica on `host` is no voter, and forgets its progress.
    fn drop_progress_and_change(
        &mut self,
        host: &Host,
        next: Members,
        now: Instant,
    ) -> Result<(), Refusal> {
        if next.voters().count() == 0 {
            return Err(Refusal::new(Code::Floor, "no voter would remain"));
        }
        self.progress.remove(host);
        self.regressed.remove(host);
        self.change_members(next, now);
        Ok(())
    }

    fn change_members(&mut self, members: Members, now: Instant) {
        self.append(Body::Members(members));
        self.advance_commit();
        self.broadcast(now);
    }

    /// The replica set as of `index`.
    pub(super) fn members_at(&self, index: Index) -> Members {
        let before = self
            .entries
            .iter()
            .rev()
            .filter(|entry| entry.index <= index);
        let mut sets = before.filter_map(|entry| match &entry.body {
            Body::Members(members) => Some(members.clone()),
            _ => None,
        });
        sets.next().unwrap_or_else(|| self.snapshot.members.clone())
    }
}

fn no_replica(host: &Host) -> Refusal {
    Refusal::new(Code::Unknown, format!("`{host}` has no replica"))
}

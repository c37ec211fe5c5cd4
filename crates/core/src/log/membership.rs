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

    /// Makes the learner on `host` a voter, if it has every committed entry.
    ///
    /// # Errors
    ///
    /// [`Code::NotLeader`]; [`Code::InUse`] while another change is in progress or the learner has
    /// not caught up; [`Code::Unknown`] if the host has no replica.
    pub fn promote(&mut self, host: &Host, now: Instant) -> Result<(), Refusal> {
        self.ensure_change_allowed()?;
        let Some(member) = self.members().get(host).cloned() else {
            return Err(Refusal::new(
                Code::Unknown,
                format!("`{host}` has no replica"),
            ));
        };
        if member.voter {
            return Ok(());
        }
        if self.match_index(host) < self.commit {
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
        if host == &self.host {
            let message = "a leader cannot remove itself; stop its process first".to_owned();
            return Err(Refusal::new(Code::Floor, message));
        }
        let next = self.members().without(host);
        if next.voters().count() == 0 {
            return Err(Refusal::new(Code::Floor, "no voter would remain"));
        }
        self.progress.remove(host);
        self.regressed.remove(host);
        self.change_members(next, now);
        Ok(())
    }

    /// The replicas that have lost entries that they had acknowledged to this leader. Their disks are
    /// older copies of themselves, so they must be removed.
    pub fn regressed(&self) -> impl Iterator<Item = &Host> {
        let members = self.members();
        self.regressed
            .iter()
            .filter(|host| members.get(host).is_some())
    }

    /// The learners that have every committed entry.
    #[must_use]
    pub fn caught_up_learners(&self) -> Vec<Host> {
        let learners = self.members().0.iter().filter(|member| !member.voter);
        let caught_up = learners.filter(|member| {
            let match_index = self.match_index(&member.host);
            match_index > Index(0) && match_index >= self.commit
        });
        caught_up.map(|member| member.host.clone()).collect()
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

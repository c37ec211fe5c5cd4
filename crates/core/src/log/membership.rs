//! Changes of the replica set: one replica at a time, a new one counted once it is whole.

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
    /// Takes in the replica on `host` with `disk` as a learner.
    ///
    /// # Errors
    ///
    /// [`Code::NotLeader`]; [`Code::InUse`] while another change is under way or where the host
    /// has a replica on another disk, which must be removed first.
    pub fn admit(&mut self, host: &Host, disk: Disk, now: Instant) -> Result<(), Refusal> {
        self.ensure_change_allowed()?;
        if self.members().contains(host, disk) {
            return Ok(());
        }
        if self.members().get(host).is_some() {
            let why = format!("`{host}` has a replica on another disk; remove that first");
            return Err(Refusal::new(Code::InUse, why));
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

    /// Lets a learner count that has everything that is committed.
    ///
    /// # Errors
    ///
    /// [`Code::NotLeader`]; [`Code::InUse`] while another change is under way or the learner is
    /// not whole; [`Code::Unknown`] where there is none.
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
                format!("the replica on `{host}` is not whole"),
            ));
        }
        let next = self.members().with(Member {
            voter: true,
            ..member
        });
        self.change_members(next, now);
        Ok(())
    }

    /// Takes the replica on `host` out.
    ///
    /// # Errors
    ///
    /// [`Code::NotLeader`]; [`Code::InUse`] while another change is under way; [`Code::Floor`]
    /// where it is the only one or this leader itself.
    pub fn remove(&mut self, host: &Host, now: Instant) -> Result<(), Refusal> {
        self.ensure_change_allowed()?;
        if host == &self.host {
            let why = "a leader does not take itself out; stop it first".to_owned();
            return Err(Refusal::new(Code::Floor, why));
        }
        let next = self.members().without(host);
        if next.voters().count() == 0 {
            return Err(Refusal::new(Code::Floor, "no replica would be left"));
        }
        self.progress.remove(host);
        self.regressed.remove(host);
        self.change_members(next, now);
        Ok(())
    }

    /// The replicas that have lost what they had acknowledged to this leader: their disks are older
    /// copies of themselves, and must be taken out.
    pub fn regressed(&self) -> impl Iterator<Item = &Host> {
        let members = self.members();
        self.regressed
            .iter()
            .filter(|host| members.get(host).is_some())
    }

    /// The learners that are whole.
    #[must_use]
    pub fn caught_up_learners(&self) -> Vec<Host> {
        let learners = self.members().0.iter().filter(|member| !member.voter);
        let whole = learners.filter(|member| {
            let matched = self.match_index(&member.host);
            matched > Index(0) && matched >= self.commit
        });
        whole.map(|member| member.host.clone()).collect()
    }

    fn ensure_change_allowed(&self) -> Result<(), Refusal> {
        self.ensure_leader()?;
        let newest = self.entries.iter().rev();
        let mut changes = newest.filter(|entry| matches!(entry.body, Body::Members(_)));
        let under_way = changes
            .next()
            .is_some_and(|entry| entry.index > self.commit);
        if under_way || !self.has_committed_in_term() {
            let why = "another change of the replicas is under way";
            return Err(Refusal::new(Code::InUse, why));
        }
        Ok(())
    }

    fn change_members(&mut self, members: Members, now: Instant) {
        self.append(Body::Members(members));
        self.advance_commit();
        self.broadcast(now);
    }

    /// The replicas as they were at `index`.
    pub(super) fn members_at(&self, index: Index) -> Members {
        let before = self
            .entries
            .iter()
            .rev()
            .filter(|entry| entry.index <= index);
        let mut found = before.filter_map(|entry| match &entry.body {
            Body::Members(members) => Some(members.clone()),
            _ => None,
        });
        found
            .next()
            .unwrap_or_else(|| self.snapshot.members.clone())
    }
}

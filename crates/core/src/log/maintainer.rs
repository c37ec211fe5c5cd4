//! Keeps the replica set whole where hosts are not configured by name: who asks is taken in, and
//! who is gone gives its place to another.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Instant;
use crate::code::Refusal;
use crate::id::Disk;
use crate::id::Host;

use super::Replica;

/// How long a replica beyond the wanted number must be silent before it is taken out.
///
/// Longer than a restart of its process takes, as a replica that is taken out must ask to be taken
/// in again.
const REMOVAL_DELAY: Duration = Duration::from_millis(1_500);

/// A change of the replica set that was begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// A replica was taken in as a learner.
    Admitted(Host),
    /// A learner counts from now on.
    Promoted(Host),
    /// A replica was taken out.
    Removed(Host),
}

/// What a leader remembers to keep the replica set whole.
///
/// A set that is larger than wanted is no safer: a replica in it that is gone for good still counts
/// towards the majority that must agree.
#[derive(Clone, Debug, Default)]
pub struct Maintainer {
    target_voters: usize,
    unreachable_since: BTreeMap<Host, Instant>,
    to_remove: BTreeSet<Host>,
}

impl Maintainer {
    /// Upkeep of a set in which `wanted` replicas are to count at least.
    #[must_use]
    pub fn new(wanted: usize) -> Self {
        Self {
            target_voters: wanted,
            ..Self::default()
        }
    }

    /// Takes in the replica on `host` with `disk`, which asks for it; where the host had another
    /// disk, that one goes first, and the host must ask again.
    ///
    /// # Errors
    ///
    /// Those of [`Replica::admit`] and [`Replica::remove`].
    pub fn admit(
        &mut self,
        replica: &mut Replica,
        host: &Host,
        disk: Disk,
        now: Instant,
    ) -> Result<Option<MemberChange>, Refusal> {
        let members = replica.members();
        if members.contains(host, disk) {
            return Ok(None);
        }
        if members.get(host).is_some() {
            replica.remove(host, now)?;
            return Ok(Some(MemberChange::Removed(host.clone())));
        }
        replica.admit(host, disk, now)?;
        Ok(Some(MemberChange::Admitted(host.clone())))
    }

    /// Lets whole learners count, and takes out who is to go; to be called at every tick of a
    /// leader that surely leads.
    pub fn maintain(&mut self, replica: &mut Replica, now: Instant) -> Vec<MemberChange> {
        self.update_unreachable(replica, now);
        let mut kept = Vec::new();
        for host in replica.caught_up_learners() {
            if replica.promote(&host, now).is_ok() {
                kept.push(MemberChange::Promoted(host));
                // The new one takes the place of one that is silent, if one is.
                self.to_remove
                    .extend(self.longest_unreachable().map(|(host, _)| host));
            }
        }
        self.select_surplus(replica, now);
        let regressed: BTreeSet<_> = replica.regressed().cloned().collect();
        for host in self.to_remove.union(&regressed) {
            if replica.remove(host, now).is_ok() {
                kept.push(MemberChange::Removed(host.clone()));
            }
        }
        kept
    }

    /// Takes note of who is silent, and since when.
    fn update_unreachable(&mut self, replica: &Replica, now: Instant) {
        let members = replica.members();
        let silent = members
            .voters()
            .filter(|member| !replica.is_reachable(&member.host, now));
        let silent: BTreeSet<_> = silent.map(|member| member.host.clone()).collect();
        self.unreachable_since
            .retain(|host, _| silent.contains(host));
        for host in silent {
            self.unreachable_since.entry(host).or_insert(now);
        }
        // Who is heard again may stay.
        self.to_remove
            .retain(|host| self.unreachable_since.contains_key(host));
    }

    /// Picks one to go where more count than are wanted and one has been silent for long.
    fn select_surplus(&mut self, replica: &Replica, now: Instant) {
        if replica.members().voters().count() <= self.target_voters {
            return;
        }
        if let Some((host, since)) = self.longest_unreachable()
            && now.since(since) >= REMOVAL_DELAY
        {
            self.to_remove.insert(host);
        }
    }

    fn longest_unreachable(&self) -> Option<(Host, Instant)> {
        let silent = self.unreachable_since.iter();
        let longest = silent.min_by_key(|(_, since)| **since);
        longest.map(|(host, since)| (host.clone(), *since))
    }
}

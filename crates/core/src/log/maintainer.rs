//! Maintains the replica set if control hosts are not configured by name: replicas are admitted on
//! request, and a lost replica is removed when another one replaces it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Instant;
use crate::code::Refusal;
use crate::id::Disk;
use crate::id::Host;

use super::Replica;

/// How long a replica must be unreachable before it is removed from a set with surplus voters.
///
/// Longer than a restart of its process takes, since a replica that was removed has to be admitted
/// again.
const REMOVAL_DELAY: Duration = Duration::from_millis(1_500);

/// A change of the replica set that has been started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// A replica was admitted as a learner.
    Admitted(Host),
    /// A learner became a voter.
    Promoted(Host),
    /// A replica was removed.
    Removed(Host),
}

/// Decides at the leader which learners to promote and which replicas to remove.
///
/// A set that is larger than the target is no safer: a replica that is lost for good still raises
/// the number of voters that make a majority.
#[derive(Clone, Debug, Default)]
pub struct Maintainer {
    target_voters: usize,
    unreachable_since: BTreeMap<Host, Instant>,
    to_remove: BTreeSet<Host>,
}

impl Maintainer {
    /// Creates a maintainer for a set that is to have at least `target_voters` voters.
    #[must_use]
    pub fn new(target_voters: usize) -> Self {
        Self {
            target_voters,
            ..Self::default()
        }
    }

    /// Admits the replica on `host` with `disk`, which has asked for it. If the host has a replica on
    /// another disk, removes that one instead; the host then has to ask again.
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

    /// Promotes the learners that have caught up, and removes replicas that are lost, replaced or
    /// regressed. Call it at every tick of a replica that is certain to lead.
    pub fn maintain(&mut self, replica: &mut Replica, now: Instant) -> Vec<MemberChange> {
        self.update_unreachable(replica, now);
        let mut changes = Vec::new();
        for host in replica.caught_up_learners() {
            if replica.promote(&host, now).is_ok() {
                changes.push(MemberChange::Promoted(host));
                // The new voter replaces an unreachable one, if there is one.
                self.to_remove
                    .extend(self.longest_unreachable().map(|(host, _)| host));
            }
        }
        self.select_surplus(replica, now);
        let regressed: BTreeSet<_> = replica.regressed().cloned().collect();
        for host in self.to_remove.union(&regressed) {
            if replica.remove(host, now).is_ok() {
                changes.push(MemberChange::Removed(host.clone()));
            }
        }
        changes
    }

    /// Records which voters are unreachable, and since when.
    fn update_unreachable(&mut self, replica: &Replica, now: Instant) {
        let members = replica.members();
        let unreachable = members
            .voters()
            .filter(|member| !replica.is_reachable(&member.host, now));
        let unreachable: BTreeSet<_> = unreachable.map(|member| member.host.clone()).collect();
        self.unreachable_since
            .retain(|host, _| unreachable.contains(host));
        for host in unreachable {
            self.unreachable_since.entry(host).or_insert(now);
        }
        // A replica that is reachable again stays.
        self.to_remove
            .retain(|host| self.unreachable_since.contains_key(host));
    }

    /// Selects a replica to remove if there are more voters than the target and one has been
    /// unreachable for [`REMOVAL_DELAY`].
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
        let unreachable = self.unreachable_since.iter();
        let longest = unreachable.min_by_key(|(_, since)| **since);
        longest.map(|(host, since)| (host.clone(), *since))
    }
}

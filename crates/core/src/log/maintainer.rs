//! Maintains the replica set if control hosts are not configured by name: replicas are admitted on
//! request, and another one replaces a lost replica.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Instant;
use crate::code::Code;
use crate::code::Refusal;
use crate::id::Disk;
use crate::id::Host;

use super::Member;
use super::Replica;

/// How long a replica must be unreachable before it is removed from a set with surplus voters.
///
/// Longer than a restart of its process takes, since a replica that was removed has to be admitted
/// again.
const REMOVAL_DELAY: Duration = Duration::from_millis(1_500);

/// How long all members must have been reachable before a set with enough voters grows by two.
///
/// In between, one voter more makes a larger majority: a host that has just joined must not fail then, nor another one.
const GROWTH_DELAY: Duration = Duration::from_secs(5);

/// A change of the replica set that has been started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// A replica was admitted as a learner.
    Admitted(Host),
    /// A learner became a voter.
    Promoted(Host),
    /// A replica was replaced by a learner on the same host, with this disk.
    Replaced(Host, Disk),
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
    /// Since when all members are reachable and none was admitted.
    calm_since: Instant,
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

    /// Admits the replica on `host` with `disk`, which has asked for it. If the host has a replica on another disk, replaces
    /// that one in the same change.
    ///
    /// # Errors
    ///
    /// Those of [`Replica::admit`] and [`Replica::replace`]; [`Code::InUse`] while a replica on another disk of that host is
    /// reachable, or while another learner is to be promoted first.
    pub fn admit(
        &mut self,
        replica: &mut Replica,
        host: &Host,
        disk: Disk,
        now: Instant,
    ) -> Result<Option<MemberChange>, Refusal> {
        let Some(member) = replica.members().get(host) else {
            replica.admit(host, disk, now)?;
            self.calm_since = now;
            return Ok(Some(MemberChange::Admitted(host.clone())));
        };
        if member.disk == disk {
            return Ok(None);
        }
        // Two processes that answer at one address must not replace each other in turn.
        if replica.is_reachable(host, now) {
            let why = format!("`{host}` has a live replica on another disk");
            return Err(Refusal::new(Code::InUse, why));
        }
        // Otherwise two losses would take two voters from the set before one is added.
        let is_even = replica.members().voters().count().is_multiple_of(2);
        if is_even && !replica.promotable_learners().is_empty() {
            let why = "another replica is to be promoted first";
            return Err(Refusal::new(Code::InUse, why));
        }
        replica.replace(host, disk, now)?;
        Ok(Some(MemberChange::Replaced(host.clone(), disk)))
    }

    /// Promotes learners, and removes or replaces replicas that are lost or regressed. Call it at every tick of a replica
    /// that is certain to lead.
    ///
    /// A replica that is replaced or removed is not needed for that: the others can complete what was started. Only growth makes
    /// the majority larger.
    pub fn maintain(&mut self, replica: &mut Replica, now: Instant) -> Vec<MemberChange> {
        self.update_unreachable(replica, now);
        let mut changes = Vec::new();
        if let Some(host) = self.select_lost(replica, now) {
            if replica.remove(&host, now).is_ok() {
                changes.push(MemberChange::Removed(host));
            }
            return changes;
        }
        if let Some(host) = self.select_learner(replica, now)
            && replica.promote(&host, now).is_ok()
        {
            changes.push(MemberChange::Promoted(host));
        }
        let members = replica.members();
        let regressed = replica.regressed().filter_map(|host| members.get(host));
        // As a learner it gets the lost entries, and votes again without having to ask.
        let to_demote: Vec<_> = regressed
            .chain(self.select_excess(replica))
            .cloned()
            .collect();
        for member in to_demote {
            if replica.replace(&member.host, member.disk, now).is_ok() {
                changes.push(MemberChange::Replaced(member.host, member.disk));
            }
        }
        changes
    }

    /// Records which members are unreachable, and since when.
    fn update_unreachable(&mut self, replica: &Replica, now: Instant) {
        let members = replica.members().0.iter();
        let unreachable = members.filter(|member| !replica.is_reachable(&member.host, now));
        let unreachable: BTreeSet<_> = unreachable.map(|member| member.host.clone()).collect();
        self.unreachable_since
            .retain(|host, _| unreachable.contains(host));
        if !unreachable.is_empty() {
            self.calm_since = now;
        }
        for host in unreachable {
            self.unreachable_since.entry(host).or_insert(now);
        }
    }

    /// Selects a replica to remove: one that has been unreachable for [`REMOVAL_DELAY`], if the set has enough voters without
    /// it or a learner can take its place.
    ///
    /// It is removed before the learner is promoted. Between the two, the majority is as large as before; the other way round
    /// it would be larger by one, and a failure of the new voter would stop the log.
    fn select_lost(&self, replica: &Replica, now: Instant) -> Option<Host> {
        let members = replica.members();
        let voters = members.voters().count();
        let is_surplus = voters > self.target_voters;
        let has_successor = !voters.is_multiple_of(2) && !replica.promotable_learners().is_empty();
        let is_removable = |host: &Host| {
            let is_voter = members.get(host).is_some_and(|member| member.voter);
            if is_voter {
                is_surplus || has_successor
            } else {
                voters >= self.target_voters
            }
        };
        let lost = self.unreachable_since.iter();
        let lost = lost.filter(|(_, since)| now.since(**since) >= REMOVAL_DELAY);
        let removable = lost.filter(|(host, _)| is_removable(host));
        let longest = removable.min_by_key(|(_, since)| **since);
        longest.map(|(host, _)| host.clone())
    }

    /// Selects a voter to demote: the slowest one if an even number beyond the target is left after another one was removed.
    fn select_excess<'a>(&self, replica: &'a Replica) -> Option<&'a Member> {
        let members = replica.members();
        let voters = members.voters().count();
        let is_even = voters.is_multiple_of(2) && voters == members.0.len();
        let followers = members
            .voters()
            .filter(|member| member.host != *replica.get_host());
        let slowest = followers.min_by_key(|member| replica.match_index(&member.host));
        slowest.filter(|_| is_even && voters > self.target_voters.max(2))
    }

    /// Selects a learner to promote.
    ///
    /// An even number of voters tolerates no more losses than one voter fewer, and each of them can stop the log in more ways.
    /// So a single learner beyond the target stays a learner until it can replace a voter.
    fn select_learner(&self, replica: &Replica, now: Instant) -> Option<Host> {
        let voters = replica.members().voters().count();
        let learners = replica.promotable_learners();
        let is_reachable = |host: &Host| replica.is_reachable(host, now);
        let calm_since = self.calm_since.max(replica.leader_since);
        let may_grow = learners.len() > 1 && now.since(calm_since) >= GROWTH_DELAY;
        let is_wanted = voters < self.target_voters || voters.is_multiple_of(2) || may_grow;
        // The one that can acknowledge the soonest.
        let best = learners
            .into_iter()
            .max_by_key(|host| (is_reachable(host), replica.match_index(host)));
        best.filter(|_| is_wanted)
    }
}

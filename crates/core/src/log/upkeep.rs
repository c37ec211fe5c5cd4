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
const SILENT: Duration = Duration::from_millis(1_500);

/// A change of the replica set that was begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kept {
    /// A replica was taken in as a learner.
    Admitted(Host),
    /// A learner counts from now on.
    Counts(Host),
    /// A replica was taken out.
    Expelled(Host),
}

/// What a leader remembers to keep the replica set whole.
///
/// A set that is larger than wanted is no safer: a replica in it that is gone for good still counts
/// towards the majority that must agree.
#[derive(Clone, Debug, Default)]
pub struct Upkeep {
    wanted: usize,
    silent: BTreeMap<Host, Instant>,
    out: BTreeSet<Host>,
}

impl Upkeep {
    /// Upkeep of a set in which `wanted` replicas are to count at least.
    #[must_use]
    pub fn new(wanted: usize) -> Self {
        Self {
            wanted,
            ..Self::default()
        }
    }

    /// Takes in the replica on `host` with `disk`, which asks for it; where the host had another
    /// disk, that one goes first, and the host must ask again.
    ///
    /// # Errors
    ///
    /// Those of [`Replica::admit`] and [`Replica::expel`].
    pub fn admit(
        &mut self,
        replica: &mut Replica,
        host: &Host,
        disk: Disk,
        now: Instant,
    ) -> Result<Option<Kept>, Refusal> {
        let members = replica.members();
        if members.has(host, disk) {
            return Ok(None);
        }
        if members.get(host).is_some() {
            replica.expel(host, now)?;
            return Ok(Some(Kept::Expelled(host.clone())));
        }
        replica.admit(host, disk, now)?;
        Ok(Some(Kept::Admitted(host.clone())))
    }

    /// Lets whole learners count, and takes out who is to go; to be called at every tick of a
    /// leader that surely leads.
    pub fn tend(&mut self, replica: &mut Replica, now: Instant) -> Vec<Kept> {
        self.listen(replica, now);
        let mut kept = Vec::new();
        for host in replica.whole_learners() {
            if replica.promote(&host, now).is_ok() {
                kept.push(Kept::Counts(host));
                // The new one takes the place of one that is silent, if one is.
                self.out.extend(self.longest_silent().map(|(host, _)| host));
            }
        }
        self.shrink(replica, now);
        let regressed: BTreeSet<_> = replica.regressed().cloned().collect();
        for host in self.out.union(&regressed) {
            if replica.expel(host, now).is_ok() {
                kept.push(Kept::Expelled(host.clone()));
            }
        }
        kept
    }

    /// Takes note of who is silent, and since when.
    fn listen(&mut self, replica: &Replica, now: Instant) {
        let members = replica.members();
        let silent = members
            .voters()
            .filter(|member| !replica.hears(&member.host, now));
        let silent: BTreeSet<_> = silent.map(|member| member.host.clone()).collect();
        self.silent.retain(|host, _| silent.contains(host));
        for host in silent {
            self.silent.entry(host).or_insert(now);
        }
        // Who is heard again may stay.
        self.out.retain(|host| self.silent.contains_key(host));
    }

    /// Picks one to go where more count than are wanted and one has been silent for long.
    fn shrink(&mut self, replica: &Replica, now: Instant) {
        if replica.members().voters().count() <= self.wanted {
            return;
        }
        if let Some((host, since)) = self.longest_silent()
            && now.since(since) >= SILENT
        {
            self.out.insert(host);
        }
    }

    fn longest_silent(&self) -> Option<(Host, Instant)> {
        let silent = self.silent.iter();
        let longest = silent.min_by_key(|(_, since)| **since);
        longest.map(|(host, since)| (host.clone(), *since))
    }
}

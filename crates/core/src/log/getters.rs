//! Read access to the state of a replica.

use crate::id::Disk;
use crate::id::Host;
use crate::id::Index;
use crate::id::Term;

use super::Body;
use super::Entry;
use super::Members;
use super::Replica;
use super::Role;
use super::Snapshot;

/// # Read access
impl Replica {
    /// Its current role.
    #[must_use]
    pub fn get_role(&self) -> Role {
        self.role
    }

    /// The leader that it follows; itself if it leads.
    #[must_use]
    pub fn get_leader(&self) -> Option<&Host> {
        self.leader.as_ref()
    }

    /// The newest term that it has seen.
    #[must_use]
    pub fn get_term(&self) -> Term {
        self.hard_state.term
    }

    /// The highest index that it knows to be committed.
    #[must_use]
    pub fn get_commit(&self) -> Index {
        self.commit
    }

    /// Its host.
    #[must_use]
    pub fn get_host(&self) -> &Host {
        &self.host
    }

    /// Its newest snapshot.
    #[must_use]
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Its disk's identity.
    #[must_use]
    pub fn get_disk(&self) -> Disk {
        self.hard_state.disk
    }

    /// The replica set according to the newest entry of its log that changes it.
    #[must_use]
    pub fn members(&self) -> &Members {
        let newest = self
            .entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.body {
                Body::Members(members) => Some(members),
                _ => None,
            });
        newest.unwrap_or(&self.snapshot.members)
    }

    /// The entries after the snapshot.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// The index of its last entry.
    #[must_use]
    pub fn last_index(&self) -> Index {
        self.entries
            .last()
            .map_or(self.snapshot.index, |entry| entry.index)
    }

    pub(super) fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// The term at `index`; `None` if that is beyond the end of the log or before the snapshot.
    pub(super) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    pub(super) fn entry(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.snapshot.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }
}

//! The hosts that are known to run a control replica.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use curlewlift_core::id;

/// The maximum number of hosts: three times the replicas of a deployment that tolerates two lost disks.
const MAX_KNOWN_HOSTS: usize = 15;

/// The hosts that are known to run a control replica, shared by a gateway and the replica in its process.
///
/// The list may be out of date: a caller that gets no response tries the next host.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownHosts(Arc<Mutex<Vec<id::Host>>>);

impl KnownHosts {
    /// Replaces the list by the hosts that a leader named.
    pub(crate) fn set(&self, hosts: Vec<id::Host>) {
        *self.lock() = hosts;
    }

    /// Adds hosts that another process knows of; drops the oldest beyond the maximum.
    pub(crate) fn add(&self, hosts: impl IntoIterator<Item = id::Host>) {
        let mut known = self.lock();
        for host in hosts {
            if !known.contains(&host) {
                known.push(host);
            }
        }
        let excess = known.len().saturating_sub(MAX_KNOWN_HOSTS);
        known.drain(..excess);
    }

    /// All known hosts.
    pub(crate) fn get(&self) -> Vec<id::Host> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<id::Host>> {
        // The list is valid even if a thread panicked while it held the lock.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

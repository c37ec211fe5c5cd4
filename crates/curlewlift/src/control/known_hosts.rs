//! The hosts that are known to keep a control replica.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use curlewlift_core::id;

/// How many are remembered: three times the replicas of a deployment that bears two lost disks.
const MOST: usize = 15;

/// The hosts that are known to keep a control replica; a gateway and the replica beside it share them.
///
/// It is what a process has heard, not what is so: whoever asks goes on to the next.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownHosts(Arc<Mutex<Vec<id::Host>>>);

impl KnownHosts {
    /// Those that a leader names, in place of all others.
    pub(crate) fn set(&self, hosts: Vec<id::Host>) {
        *self.lock() = hosts;
    }

    /// Adds those that somebody else has heard of; the oldest ones go.
    pub(crate) fn add(&self, hosts: impl IntoIterator<Item = id::Host>) {
        let mut known = self.lock();
        for host in hosts {
            if !known.contains(&host) {
                known.push(host);
            }
        }
        let beyond = known.len().saturating_sub(MOST);
        known.drain(..beyond);
    }

    /// All of them.
    pub(crate) fn get(&self) -> Vec<id::Host> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<id::Host>> {
        // Whoever panicked with the lock left a list that can be read.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

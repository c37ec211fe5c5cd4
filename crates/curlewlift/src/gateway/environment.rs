//! The environment that a gateway runs in.

use std::net::SocketAddr;

use crate::control::Decode;
use crate::control::KnownHosts;
use crate::control::Locate;

/// How a gateway finds control replicas and decodes routing tables.
pub(crate) struct Environment {
    /// Addresses where control replicas may be found; read again on each call.
    pub(crate) seeds: Box<dyn Fn() -> Vec<SocketAddr>>,
    /// Finds the address of the control replica on a host.
    pub(crate) locate: Locate,
    /// Returns the address at which a gateway takes calls, by its address for callers.
    pub(crate) locate_gateway: Box<dyn Fn(SocketAddr) -> SocketAddr>,
    /// The address for operators; its port is the same on all hosts.
    pub(crate) operators: SocketAddr,
    /// Decodes a routing table.
    pub(crate) decode: Decode,
    /// Address of the control replica in this process, if there is one.
    pub(crate) local_replica: Option<SocketAddr>,
}

impl Environment {
    /// Address of a replica or host that may know the leader, by a running number: the replica in this process, the
    /// hosts known to run one, and the hosts that the settings name, which may run none.
    pub(super) fn candidate_address(
        &self,
        known: &KnownHosts,
        candidate: usize,
    ) -> Option<SocketAddr> {
        let mut candidates = self.replica_addresses(known);
        for seed in (self.seeds)() {
            if !candidates.contains(&seed) {
                candidates.push(seed);
            }
        }
        candidates.get(candidate % candidates.len().max(1)).copied()
    }

    /// Addresses of the replicas that are known, the one in this process first.
    pub(super) fn replica_addresses(&self, known: &KnownHosts) -> Vec<SocketAddr> {
        let known = known.get();
        let known = known.iter().filter_map(|host| (self.locate)(host));
        self.local_replica.into_iter().chain(known).collect()
    }
}

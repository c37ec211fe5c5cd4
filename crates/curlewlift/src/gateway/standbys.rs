//! The gateways that admit requests on behalf of all gateways while the hub can't be reached.

use std::net::SocketAddr;

use curlewlift_core::gateway;
use curlewlift_core::id;
use rand::seq::IndexedRandom;

use crate::control::Locate;

/// How many standbys are asked for one request: some may be down, others may have used up their share.
const STANDBYS_PER_REQUEST: usize = 3;

/// The standbys, as a gateway knows them.
#[derive(Debug, Default)]
pub(super) struct Standbys {
    /// Version of the list that the hub sent.
    pub(super) version: u64,
    /// Addresses of the other standbys.
    addresses: Vec<SocketAddr>,
}

impl Standbys {
    /// The standbys that the hub names, without the gateway on `host` itself.
    pub(super) fn from_hub(standbys: &gateway::Standbys, host: &id::Host, locate: &Locate) -> Self {
        let others = standbys.hosts.iter().filter(|other| *other != host);
        Self {
            version: standbys.version,
            addresses: others.filter_map(|other| locate(other)).collect(),
        }
    }

    /// A random sample of the addresses.
    pub(super) fn sample(&self) -> Vec<SocketAddr> {
        let sample = self
            .addresses
            .sample(&mut rand::rng(), STANDBYS_PER_REQUEST);
        sample.copied().collect()
    }
}

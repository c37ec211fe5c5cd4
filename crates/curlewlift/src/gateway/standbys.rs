//! The gateways that let requests of all in while the hub gives no word.

use std::net::SocketAddr;

use curlewlift_core::gateway;
use curlewlift_core::id;
use rand::seq::IndexedRandom;

use crate::control::Locate;

/// How many deputies are asked for one request: some have gone, some have let in what they may.
const STANDBYS_PER_REQUEST: usize = 3;

/// The deputies, as a gateway knows them.
#[derive(Debug, Default)]
pub(super) struct Standbys {
    /// The version that the hub told.
    pub(super) version: u64,
    /// Where the others are reached.
    addresses: Vec<SocketAddr>,
}

impl Standbys {
    /// Those that the hub tells, but for the gateway on `host` itself.
    pub(super) fn from_hub(standbys: &gateway::Standbys, host: &id::Host, locate: &Locate) -> Self {
        let others = standbys.hosts.iter().filter(|other| *other != host);
        Self {
            version: standbys.version,
            addresses: others.filter_map(|other| locate(other)).collect(),
        }
    }

    /// Some of them, in any order.
    pub(super) fn sample(&self) -> Vec<SocketAddr> {
        let sample = self
            .addresses
            .sample(&mut rand::rng(), STANDBYS_PER_REQUEST);
        sample.copied().collect()
    }
}

//! The platform's list of backend servers, as gateways use it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::id;

use super::version::version;

/// The largest service of which each gateway is told all servers: at 60 B each, some 8 KB whenever one
/// of them changes.
const WHOLE: usize = 128;

/// How many servers of a larger service each gateway is told: what it can keep busy by itself while no
/// hub gives it places, with others to go to where some of them fail.
const SUBSET: usize = 32;

/// One incarnation of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Server {
    /// The incarnation's own name: another start of the same server has another.
    pub incarnation: Arc<str>,
    /// The service that it serves.
    pub service: id::Service,
    /// Where it is reached; once it has ended, the address may be another server's.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: Arc<str>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it is to end and takes no new work.
    pub leaving: bool,
}

/// A list of backend servers: all of them, or a gateway's subset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Tells one content from another; not an order.
    pub version: u64,
    /// The servers.
    pub servers: Vec<Server>,
}

impl Listing {
    /// A list of `servers`, in whatever order they come.
    #[must_use]
    pub fn new(mut servers: Vec<Server>) -> Self {
        servers.sort_by(|a, b| a.incarnation.cmp(&b.incarnation));
        let version = version_of(&servers);
        Self { version, servers }
    }

    /// The servers of each service.
    #[must_use]
    pub fn by_service(&self) -> BTreeMap<id::Service, Vec<Arc<Server>>> {
        let mut by_service: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for server in &self.servers {
            let servers = by_service.entry(server.service.clone()).or_default();
            servers.push(Arc::new(server.clone()));
        }
        by_service
    }

    /// The servers that the gateway on `host` may send to by its own choice: all of a small service, some
    /// of a large one.
    ///
    /// The hub names a server with each place that it gives, so the rest need not be known everywhere: at
    /// 300 gateways and 3,000 servers, the change of one server concerns 3 gateways, not 300. Rendezvous
    /// hashing spreads the subsets evenly and changes them little; each process works out the same one.
    ///
    /// # Examples
    ///
    /// ```
    /// use curlewlift_core::gateway::Listing;
    /// use curlewlift_core::gateway::Server;
    /// let server = Server {
    ///     incarnation: "i-1".into(),
    ///     service: "chat".parse()?,
    ///     address: "127.0.0.1:80".parse()?,
    ///     hall: "a".into(),
    ///     slots: 4,
    ///     leaving: false,
    /// };
    /// let listing = Listing::new(vec![server]);
    /// assert_eq!(listing.subset(&"g1".parse()?), listing);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    #[must_use]
    pub fn subset(&self, host: &id::Host) -> Self {
        let subsets = Subsets::of(self);
        let chosen = subsets.take(host);
        Self::new(chosen.map(|place| self.servers[place].clone()).collect())
    }
}

/// The version of a list of servers in their order, owned or borrowed.
pub(super) fn version_of<S: Hash>(servers: &[S]) -> u64 {
    // 0 stands for no list at all.
    version(&servers).max(1)
}

/// What is worked out once of a list for the subsets of all gateways: 300 of them, of 3,000 servers, take
/// 4 ms then, and 169 ms with each from the list itself, in which no leader's heartbeat goes out.
#[derive(Clone, Debug, Default)]
pub(super) struct Subsets {
    /// The servers of each service, by the hashes of their incarnations and their places on the list.
    services: Vec<Vec<(u64, usize)>>,
}

impl Subsets {
    /// For the subsets of `listing`.
    pub(super) fn of(listing: &Listing) -> Self {
        let mut by_service: HashMap<_, Vec<_>> = HashMap::new();
        for (place, server) in listing.servers.iter().enumerate() {
            let servers = by_service.entry(&server.service).or_default();
            servers.push((version(&server.incarnation), place));
        }
        Self {
            services: by_service.into_values().collect(),
        }
    }

    /// The places on the list of the servers in a gateway's subset.
    pub(super) fn take(&self, host: &id::Host) -> impl Iterator<Item = usize> {
        let host = version(&host.as_str());
        let services = self.services.iter();
        services.flat_map(move |servers| choose(servers, host))
    }
}

/// The places of those servers of a service that are in the subset of the gateway with the hash `host`.
fn choose(servers: &[(u64, usize)], host: u64) -> Vec<usize> {
    if servers.len() <= WHOLE {
        return servers.iter().map(|(_, place)| *place).collect();
    }
    let ranked = servers.iter();
    let mut ranked: Vec<_> = ranked
        .map(|(server, place)| (mix(host ^ server), *place))
        .collect();
    ranked.select_nth_unstable(SUBSET);
    ranked.truncate(SUBSET);
    ranked.into_iter().map(|(_, place)| place).collect()
}

/// Spreads a number evenly: the finalizer of `SplitMix64`.
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

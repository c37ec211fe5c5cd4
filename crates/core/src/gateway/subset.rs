//! Which backend servers a gateway may send to by its own choice.

use std::collections::HashMap;
use std::sync::Arc;

use crate::id;

use super::Listing;
use super::listing::version_of;
use super::version::version;

/// The largest service of which each gateway is told all servers: at 60 B each, some 8 KB whenever one
/// of them changes.
const WHOLE: usize = 128;

/// How many servers of a larger service each gateway is told: what it can keep busy by itself while no
/// hub gives it places, with others to go to where some of them fail.
const SUBSET: usize = 32;

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

    /// The places on the list of the servers in a gateway's subset, in the order of the list.
    fn places(&self, host: &id::Host) -> Vec<usize> {
        let host = version(&host.as_str());
        let services = self.services.iter();
        let mut places: Vec<_> = services.flat_map(|servers| choose(servers, host)).collect();
        places.sort_unstable();
        places
    }

    /// A gateway's subset of `listing`, which they were worked out of.
    pub(super) fn cut(&self, listing: &Listing, host: &id::Host) -> Listing {
        let places = self.places(host).into_iter();
        Listing::new(places.map(|place| listing.servers[place].clone()).collect())
    }
}

/// A gateway's subset of the list of backend servers, without the servers themselves.
#[derive(Clone, Debug, Default)]
pub(super) struct Subset {
    /// The version of the whole list that it was taken from.
    pub(super) of: u64,
    /// Its own version.
    pub(super) version: u64,
    /// The incarnations in it.
    pub(super) incarnations: Vec<Arc<str>>,
}

impl Subset {
    /// The subset of `listing` that the gateway on `host` is told.
    pub(super) fn take(listing: &Listing, subsets: &Subsets, host: &id::Host) -> Self {
        let places = subsets.places(host).into_iter();
        let servers: Vec<_> = places.map(|place| &listing.servers[place]).collect();
        let incarnations = servers.iter();
        let incarnations = incarnations.map(|server| Arc::clone(&server.incarnation));
        Self {
            of: listing.version,
            incarnations: incarnations.collect(),
            version: version_of(&servers),
        }
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

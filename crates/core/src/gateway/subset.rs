//! Which backend servers a gateway may send to by its own choice.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use crate::id;

use super::ServerList;
use super::server_list::Change;
use super::server_list::version_of;
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
    services: HashMap<id::Service, Vec<(u64, usize)>>,
}

impl Subsets {
    /// For the subsets of `listing`.
    pub(super) fn of(listing: &ServerList) -> Self {
        let mut services: HashMap<_, Vec<_>> = HashMap::new();
        for (place, server) in listing.servers.iter().enumerate() {
            let servers = services.entry(server.service.clone()).or_default();
            servers.push((version(&server.incarnation), place));
        }
        Self { services }
    }

    /// The places on the list of the servers in a gateway's subset, in the order of the list, and for each large service
    /// the rank that a server must be below to be in it.
    fn places(&self, host: &id::Host) -> (Vec<usize>, HashMap<id::Service, u64>) {
        let host = version(&host.as_str());
        let mut places = Vec::new();
        let mut last = HashMap::new();
        for (service, servers) in &self.services {
            let (chosen, next) = choose(servers, host);
            places.extend(chosen);
            last.extend(next.map(|next| (service.clone(), next)));
        }
        places.sort_unstable();
        (places, last)
    }

    /// A gateway's subset of `listing`, which they were worked out of.
    pub(super) fn cut(&self, listing: &ServerList, host: &id::Host) -> ServerList {
        let places = self.places(host).0.into_iter();
        ServerList::new(places.map(|place| listing.servers[place].clone()).collect())
    }
}

/// What has changed between two lists, to tell whose subsets are other ones: worked out anew for each of 1,000 gateways
/// at each list, 3,000 servers take longer than a leader may be silent.
#[derive(Clone, Debug, Default)]
pub(super) struct Delta {
    /// The version of the former list.
    from: u64,
    /// Whether a service has changed that each gateway is told all servers of, before or after.
    whole: bool,
    /// The incarnations of large services that are other ones, or gone.
    touched: HashSet<Arc<str>>,
    /// The hashes of those that have come, by service.
    come: HashMap<id::Service, Vec<u64>>,
}

impl Delta {
    /// What makes `next` of `former`.
    pub(super) fn between(former: &ServerList, next: &ServerList) -> Self {
        let mut delta = Self {
            from: former.version,
            ..Self::default()
        };
        let sizes = [counts(former), counts(next)];
        let is_small = |service: &id::Service| {
            let mut sizes = sizes.iter().map(|sizes| sizes.get(service));
            sizes.any(|size| size.is_none_or(|size| *size <= WHOLE))
        };
        let known = former.servers.iter();
        let known = known.map(|server| (&*server.incarnation, server));
        let mut known: HashMap<_, _> = known.collect();
        for server in &next.servers {
            let former = known.remove(&*server.incarnation);
            if former == Some(server) {
                continue;
            }
            delta.whole |= is_small(&server.service);
            if former.is_some() {
                delta.touched.insert(Arc::clone(&server.incarnation));
            } else {
                let come = delta.come.entry(server.service.clone()).or_default();
                come.push(version(&server.incarnation));
            }
        }
        for server in known.into_values() {
            delta.whole |= is_small(&server.service);
            delta.touched.insert(Arc::clone(&server.incarnation));
        }
        delta
    }

    /// Whether the subset of the gateway with the hash `host`, taken from the former list, is another one now.
    fn concerns(&self, subset: &Subset, host: u64) -> bool {
        let mut held = subset.incarnations.iter();
        let enters = |(service, come): (&id::Service, &Vec<u64>)| {
            let last = subset.last.get(service);
            let enters = |server: &u64| last.is_none_or(|last| mix(host ^ server) < *last);
            come.iter().any(enters)
        };
        self.whole
            || held.any(|incarnation| self.touched.contains(incarnation))
            || self.come.iter().any(enters)
    }
}

/// How many servers each service has.
fn counts(listing: &ServerList) -> HashMap<&id::Service, usize> {
    let mut counts = HashMap::new();
    for server in &listing.servers {
        *counts.entry(&server.service).or_default() += 1;
    }
    counts
}

/// A gateway's subset of the list of backend servers, without the servers themselves.
#[derive(Clone, Debug, Default)]
pub(super) struct Subset {
    /// The version of the whole list that it was taken from, or is the same in.
    of: u64,
    /// Its own version.
    pub(super) version: u64,
    /// The incarnations in it.
    pub(super) incarnations: Vec<Arc<str>>,
    /// The rank that a server of each large service must be below to be in it.
    last: HashMap<id::Service, u64>,
    /// What led to it from the one before.
    former: Former,
}

/// What led from one subset to the next, by incarnations.
#[derive(Clone, Debug, Default)]
struct Former {
    /// The version of the former one.
    version: u64,
    come: Vec<Arc<str>>,
    gone: Vec<Arc<str>>,
}

impl Subset {
    /// Whether it was taken from the list that `delta` starts from.
    fn is_of(&self, delta: &Delta) -> bool {
        self.of == delta.from && self.of != 0
    }

    /// Whether it is the subset of `listing`, which has changed by `delta`.
    pub(super) fn is_current(
        &mut self,
        listing: &ServerList,
        delta: &Delta,
        host: &id::Host,
    ) -> bool {
        let is_same = self.is_of(delta) && !delta.concerns(self, version(&host.as_str()));
        if is_same {
            self.of = listing.version;
        }
        self.of == listing.version
    }

    /// Brings it up to `listing`, which has changed by `delta`.
    pub(super) fn follow(
        &mut self,
        listing: &ServerList,
        subsets: &Subsets,
        delta: &Delta,
        host: &id::Host,
    ) {
        if self.is_current(listing, delta, host) {
            return;
        }
        let is_next = self.is_of(delta);
        let mut next = Self::take(listing, subsets, host);
        if is_next {
            next.former = self.until(&next, delta);
        }
        *self = next;
    }

    /// The subset of `listing` that the gateway on `host` is told.
    fn take(listing: &ServerList, subsets: &Subsets, host: &id::Host) -> Self {
        let (places, last) = subsets.places(host);
        let servers: Vec<_> = places
            .iter()
            .map(|place| &listing.servers[*place])
            .collect();
        let incarnations = servers.iter();
        let incarnations = incarnations.map(|server| Arc::clone(&server.incarnation));
        Self {
            of: listing.version,
            incarnations: incarnations.collect(),
            version: version_of(&servers),
            last,
            former: Former::default(),
        }
    }

    /// What leads from this one to `next`.
    fn until(&self, next: &Self, delta: &Delta) -> Former {
        let held: HashSet<_> = self.incarnations.iter().collect();
        let stays: HashSet<_> = next.incarnations.iter().collect();
        let gone = self.incarnations.iter();
        let gone = gone.filter(|incarnation| !stays.contains(incarnation));
        let is_other = |incarnation: &Arc<str>| {
            !held.contains(incarnation) || delta.touched.contains(incarnation)
        };
        let come = next.incarnations.iter();
        let come = come.filter(|incarnation| is_other(incarnation));
        Former {
            version: self.version,
            come: come.cloned().collect(),
            gone: gone.cloned().collect(),
        }
    }

    /// What leads from the subset with the version `held` to this one of `listing`, where that is known.
    pub(super) fn change(&self, listing: &ServerList, held: u64) -> Option<Change> {
        if held == 0 || held != self.former.version {
            return None;
        }
        let servers = &listing.servers;
        let place = |incarnation: &Arc<str>| {
            servers.binary_search_by(|server| server.incarnation.cmp(incarnation))
        };
        let come = self.former.come.iter();
        let come = come.filter_map(|incarnation| place(incarnation).ok());
        Some(Change {
            version: self.version,
            added: come.map(|place| servers[place].clone()).collect(),
            removed: self.former.gone.clone(),
        })
    }
}

/// The places of those servers of a service that are in the subset of the gateway with the hash `host`, and the rank that
/// they are below, where not all are.
fn choose(servers: &[(u64, usize)], host: u64) -> (Vec<usize>, Option<u64>) {
    if servers.len() <= WHOLE {
        return (servers.iter().map(|(_, place)| *place).collect(), None);
    }
    let ranked = servers.iter();
    let mut ranked: Vec<_> = ranked
        .map(|(server, place)| (mix(host ^ server), *place))
        .collect();
    let (_, next, _) = ranked.select_nth_unstable(SUBSET);
    let next = next.0;
    ranked.truncate(SUBSET);
    let places = ranked.into_iter().map(|(_, place)| place);
    (places.collect(), Some(next))
}

/// Spreads a number evenly: the finalizer of `SplitMix64`.
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

//! The platform's list of backend servers, as gateways use it.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::hash::Hash;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::id;
use crate::rollout::Version;

use super::subset::Subsets;
use super::version::version;

/// One incarnation of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Server {
    /// The incarnation's own name: another start of the same server has another.
    pub incarnation: Arc<str>,
    /// What the server calls itself; another start may keep it.
    pub name: Arc<str>,
    /// When the incarnation began, in milliseconds by the server's own clock; 0 where it does not tell.
    pub started_ms: u64,
    /// The version of its software.
    pub version: Version,
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
    /// Whether it has begun so lately that it takes fewer requests than later.
    pub cold: bool,
}

/// What a gateway is told of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// All that it is to hold.
    Whole(ServerList),
    /// What has changed in what it holds: 140 servers to each of 1,000 gateways are 14 MB for one that leaves.
    Change(Change),
}

/// What makes another list of one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The version of the list that comes of it.
    pub version: u64,
    /// Servers that have come, or are other than they were.
    pub added: Vec<Server>,
    /// The incarnations of servers that have gone.
    pub removed: Vec<Arc<str>>,
}

/// A list of backend servers: all of them, or a gateway's subset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerList {
    /// Tells one content from another; not an order.
    pub version: u64,
    /// The servers.
    pub servers: Vec<Server>,
}

impl ServerList {
    /// A list of `servers`, in whatever order they come; of two entries of one incarnation the first counts.
    #[must_use]
    pub fn new(mut servers: Vec<Server>) -> Self {
        servers.sort_by(|a, b| a.incarnation.cmp(&b.incarnation));
        servers.dedup_by(|a, b| a.incarnation == b.incarnation);
        let version = version_of(&servers);
        Self { version, servers }
    }

    /// The list after `news`; none where they are not about this one.
    #[must_use]
    pub fn apply(&self, news: Update) -> Option<Self> {
        let change = match news {
            Update::Whole(listing) => return Some(listing),
            Update::Change(change) => change,
        };
        let come = change.added.iter().map(|server| &server.incarnation);
        let replaced: HashSet<_> = come.chain(&change.removed).cloned().collect();
        let stay = self.servers.iter();
        let stay = stay.filter(|server| !replaced.contains(&server.incarnation));
        let after = Self::new(stay.cloned().chain(change.added).collect());
        (after.version == change.version).then_some(after)
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
    /// use curlewlift_core::gateway::ServerList;
    /// use curlewlift_core::gateway::Server;
    /// let server = Server {
    ///     incarnation: "i-1".into(),
    ///     name: "i-1".into(),
    ///     started_ms: 0,
    ///     version: "v1".parse()?,
    ///     service: "chat".parse()?,
    ///     address: "127.0.0.1:80".parse()?,
    ///     hall: "a".into(),
    ///     slots: 4,
    ///     leaving: false,
    ///     cold: false,
    /// };
    /// let listing = ServerList::new(vec![server]);
    /// assert_eq!(listing.subset(&"g1".parse()?), listing);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    #[must_use]
    pub fn subset(&self, host: &id::Host) -> Self {
        Subsets::of(self).cut(self, host)
    }
}

/// The version of a list of servers in their order, owned or borrowed.
pub(super) fn version_of<S: Hash>(servers: &[S]) -> u64 {
    // 0 stands for no list at all.
    version(&servers).max(1)
}

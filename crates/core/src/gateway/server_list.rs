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

use super::content_hash::content_hash;
use super::subset::SubsetSelector;

/// One incarnation of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Server {
    /// The id of the incarnation. Each start of the server has its own.
    pub incarnation: Arc<str>,
    /// The name that the server reports. It may keep its name over a restart.
    pub name: Arc<str>,
    /// When the incarnation started, in milliseconds by the server's own clock, or 0 if it does not
    /// report it.
    pub started_ms: u64,
    /// The version of its software.
    pub version: Version,
    /// The service to which it belongs.
    pub service: id::Service,
    /// Its address. After it has ended, another server may have the same one.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: Arc<str>,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is draining and accepts no new work.
    pub leaving: bool,
    /// Whether it started so recently that it accepts fewer requests than later.
    pub cold: bool,
}

/// An update of the server list, as a gateway receives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The whole list or subset of the gateway.
    Whole(ServerList),
    /// The changes in it. Sending 140 servers to each of 1,000 gateways would take 14 MB for one
    /// server that leaves.
    Change(Change),
}

/// A change from one server list to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The version of the list after the change.
    pub version: u64,
    /// Servers that were added or have changed.
    pub added: Vec<Server>,
    /// The incarnations of servers that were removed.
    pub removed: Vec<Arc<str>>,
}

/// A list of backend servers: all of them, or a gateway's subset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerList {
    /// A hash of the content; versions have no order.
    pub version: u64,
    /// The servers.
    pub servers: Vec<Server>,
}

impl ServerList {
    /// Creates a list of `servers`, in any order. Of two entries with the same incarnation the
    /// first is used.
    #[must_use]
    pub fn new(mut servers: Vec<Server>) -> Self {
        servers.sort_by(|a, b| a.incarnation.cmp(&b.incarnation));
        servers.dedup_by(|a, b| a.incarnation == b.incarnation);
        let version = version_of(&servers);
        Self { version, servers }
    }

    /// Returns the list after `update`, or nothing if the update starts from another list.
    #[must_use]
    pub fn apply(&self, update: Update) -> Option<Self> {
        let change = match update {
            Update::Whole(server_list) => return Some(server_list),
            Update::Change(change) => change,
        };
        let added = change.added.iter().map(|server| &server.incarnation);
        let replaced: HashSet<_> = added.chain(&change.removed).cloned().collect();
        let kept = self.servers.iter();
        let kept = kept.filter(|server| !replaced.contains(&server.incarnation));
        let updated = Self::new(kept.cloned().chain(change.added).collect());
        (updated.version == change.version).then_some(updated)
    }

    /// Groups the servers by service.
    #[must_use]
    pub fn by_service(&self) -> BTreeMap<id::Service, Vec<Arc<Server>>> {
        let mut by_service: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for server in &self.servers {
            let servers = by_service.entry(server.service.clone()).or_default();
            servers.push(Arc::new(server.clone()));
        }
        by_service
    }

    /// Returns the servers to which the gateway on `host` may send by local decision: all servers
    /// of a small service, some of a large one.
    ///
    /// The hub names the server in each slot that it grants, so a gateway need not know the others:
    /// with 300 gateways and 3,000 servers, a change of one server concerns 3 gateways rather than
    /// 300. Rendezvous hashing spreads the subsets evenly and changes little in them, and each
    /// process computes the same ones.
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
    /// let server_list = ServerList::new(vec![server]);
    /// assert_eq!(server_list.subset(&"g1".parse()?), server_list);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    #[must_use]
    pub fn subset(&self, host: &id::Host) -> Self {
        SubsetSelector::new(self).subset(self, host)
    }
}

/// Computes the version of a list of servers, owned or borrowed, in their order.
pub(super) fn version_of<S: Hash>(servers: &[S]) -> u64 {
    // 0 stands for a missing list.
    content_hash(&servers).max(1)
}

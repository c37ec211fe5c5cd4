//! The platform's list of backend servers, as gateways use it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::id;

use super::version::version;

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

/// A whole list.
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
        // 0 stands for no list at all.
        let version = version(&servers).max(1);
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
}

//! What a control replica needs to serve gateways.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use curlewlift_core::code::Refusal;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::id;
use curlewlift_core::route::Table;
use curlewlift_core::state::Publication;

use super::KnownHosts;

/// Reads a routing table.
pub(crate) type Decode = fn(&Publication) -> Result<Table, Refusal>;

/// Tells where the control replica on a host is reached.
pub(crate) type Locate = Arc<dyn Fn(&id::Host) -> Option<SocketAddr> + Send + Sync>;

/// What a control replica needs to serve gateways, where hosts are not configured by name.
#[derive(Clone)]
pub(crate) struct Gateways {
    /// Reads a routing table.
    pub(crate) decode: Decode,
    /// Where the replica on a host is reached that nobody has named.
    pub(crate) locate: Locate,
    /// The hosts that are known to keep a replica.
    pub(crate) known: KnownHosts,
    /// How many replicas must count before a first table is accepted: what is accepted must
    /// outlive the loss of as many disks as the deployment says.
    pub(crate) replicas: usize,
    /// How long silence of a gateway means what, and what is borne.
    pub(crate) tuning: Tuning,
}

impl fmt::Debug for Gateways {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gateways")
            .field("replicas", &self.replicas)
            .finish_non_exhaustive()
    }
}

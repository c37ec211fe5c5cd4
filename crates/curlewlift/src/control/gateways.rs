//! Configuration of a control replica that serves gateways.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use curlewlift_core::code::Refusal;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::id;
use curlewlift_core::route::Table;
use curlewlift_core::state::Publication;

use super::KnownHosts;
use super::StoppingGateways;

/// Decodes a routing table.
pub(crate) type Decode = fn(&Publication) -> Result<Table, Refusal>;

/// Returns the address of the control replica on a host.
pub(crate) type Locate = Arc<dyn Fn(&id::Host) -> Option<SocketAddr> + Send + Sync>;

/// What a control replica needs to serve gateways if hosts are not configured by name.
#[derive(Clone)]
pub(crate) struct Gateways {
    /// Decodes a routing table.
    pub(crate) decode: Decode,
    /// Returns the address of the replica on a host that is not configured.
    pub(crate) locate: Locate,
    /// The hosts that are known to run a replica.
    pub(crate) known: KnownHosts,
    /// The gateways that are known to stop.
    pub(crate) stopping: StoppingGateways,
    /// The minimum number of voting replicas before a first table is accepted: accepted tables
    /// must survive the loss of as many disks as the deployment tolerates.
    pub(crate) replicas: usize,
    /// Timeouts for unresponsive gateways, and the tolerated losses.
    pub(crate) tuning: Tuning,
}

impl fmt::Debug for Gateways {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gateways")
            .field("replicas", &self.replicas)
            .finish_non_exhaustive()
    }
}

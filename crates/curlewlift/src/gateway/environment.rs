//! What a gateway finds around it.

use std::net::SocketAddr;

use crate::control::Decode;
use crate::control::Locate;

/// What a gateway finds around it.
pub(crate) struct Environment {
    /// Where control replicas may be found; read anew each time.
    pub(crate) seeds: Box<dyn Fn() -> Vec<SocketAddr>>,
    /// Where the control replica on a host is reached.
    pub(crate) locate: Locate,
    /// Reads a routing table.
    pub(crate) decode: Decode,
    /// Where the control replica in this process is reached, where there is one.
    pub(crate) local_replica: Option<SocketAddr>,
}

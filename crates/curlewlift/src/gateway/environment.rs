//! The environment that a gateway runs in.

use std::net::SocketAddr;

use crate::control::Decode;
use crate::control::Locate;

/// How a gateway finds control replicas and decodes routing tables.
pub(crate) struct Environment {
    /// Addresses where control replicas may be found; read again on each call.
    pub(crate) seeds: Box<dyn Fn() -> Vec<SocketAddr>>,
    /// Finds the address of the control replica on a host.
    pub(crate) locate: Locate,
    /// Decodes a routing table.
    pub(crate) decode: Decode,
    /// Address of the control replica in this process, if there is one.
    pub(crate) local_replica: Option<SocketAddr>,
}

//! The links from a host to backend servers, some of which can be made to fail.

use std::collections::HashMap;
use std::future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::net::TcpStream;

/// How new connections to a server fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// They are neither accepted nor refused.
    Hangs,
    /// They are refused.
    Refuses,
}

/// The links from a host to backend servers. Clones share their faults.
///
/// # Examples
///
/// ```
/// use curlewlift::LinkFault;
/// use curlewlift::Links;
/// let links = Links::default();
/// let server = "127.0.0.1:8080".parse()?;
/// links.simulate_fault(server, Some(LinkFault::Refuses));
/// assert_eq!(links.get_fault(server), Some(LinkFault::Refuses));
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Links {
    faults: Arc<Mutex<HashMap<SocketAddr, LinkFault>>>,
}

impl Links {
    /// Makes new connections to `server` fail, to test how a process copes with that; `None` ends the fault.
    pub fn simulate_fault(&self, server: SocketAddr, fault: Option<LinkFault>) {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        match fault {
            Some(fault) => faults.insert(server, fault),
            None => faults.remove(&server),
        };
    }

    /// The simulated fault of the link to `server`, if there is one.
    #[must_use]
    pub fn get_fault(&self, server: SocketAddr) -> Option<LinkFault> {
        let faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        faults.get(&server).copied()
    }

    /// Connects to a server.
    pub(crate) async fn connect(&self, server: SocketAddr) -> io::Result<TcpStream> {
        match self.get_fault(server) {
            Some(LinkFault::Hangs) => future::pending().await,
            Some(LinkFault::Refuses) => Err(io::ErrorKind::ConnectionRefused.into()),
            None => TcpStream::connect(server).await,
        }
    }
}

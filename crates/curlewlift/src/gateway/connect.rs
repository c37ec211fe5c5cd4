//! Opens connections to backend servers: directly, or through another gateway while this host has lost its own path.
//!
//! A failed connection is evidence about the path between one host and one server. It counts against the server only if
//! a gateway on another host, which reaches other servers, cannot connect either.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::clock;
use curlewlift_core::event::Kind;
use curlewlift_core::gateway::Paths;
use curlewlift_core::gateway::Server;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::log::Line;
use super::node::Node;
use super::service::Service;
use super::tunnel;
use super::tunnel::Target;
use super::tunnel::Tunnel;
use super::tunnel::TunnelError;

/// How long a direct connection may take before a tunnel is tried beside it; a live server accepts within milliseconds.
pub(super) const DIRECT_HEAD_START: Duration = Duration::from_millis(80);

/// How long the check of a path may take after a connection has broken.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval at which lost paths are looked for that are due for a probe.
const PROBE_SCAN_INTERVAL: Duration = Duration::from_millis(250);

/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// How many lost paths are probed at a time.
const MAX_PROBES: usize = 8;

/// A connection to a server.
pub(super) enum Opened {
    /// From this host.
    Direct(TcpStream),
    /// Through the gateway at this address.
    Tunnel(Tunnel, SocketAddr),
}

/// Why a server could not be reached.
#[derive(Debug)]
pub(super) enum ConnectError {
    /// The server accepts no connections.
    ServerDown(String),
    /// This host has no path to the server, directly or through another gateway.
    NoPath(String),
}

/// Connects to a server until the time `until`.
pub(super) async fn open(
    node: &Rc<Node>,
    target: Target<'_>,
    until: Instant,
) -> Result<Opened, ConnectError> {
    let address = target.server.address;
    if node.paths.borrow().is_lost(address) {
        return open_on_lost_path(node, target, until).await;
    }
    let (why, tunnel) = match connect_or_tunnel(node, target, until).await {
        Ok(stream) => return Ok(Opened::Direct(stream)),
        Err(failed) => failed,
    };
    match tunnel {
        Ok((tunnel, host)) => {
            node.record_lost_path(target.server, &why, Some(host));
            Ok(Opened::Tunnel(tunnel, host))
        }
        Err(TunnelError::ServerDown) => {
            node.paths.borrow_mut().record_down(address);
            Err(ConnectError::ServerDown(why))
        }
        Err(TunnelError::NoHost) if node.reaches_others(address).await => {
            node.paths.borrow_mut().record_down(address);
            Err(ConnectError::ServerDown(why))
        }
        Err(TunnelError::NoHost) => {
            node.record_lost_path(target.server, &why, None);
            Err(ConnectError::NoPath(why))
        }
    }
}

/// Connects to a server directly, and through a tunnel if that fails or takes long; the first connection is used. Without a
/// direct one, returns why, and the tunnel.
async fn connect_or_tunnel(
    node: &Rc<Node>,
    target: Target<'_>,
    until: Instant,
) -> Result<TcpStream, (String, Result<(Tunnel, SocketAddr), TunnelError>)> {
    let mut direct = pin!(connect(node, target.server.address, until));
    let head_start = until.min(Instant::now() + DIRECT_HEAD_START);
    let mut tunnel = pin!(tunnel::open(node, target, until));
    match tokio::time::timeout_at(head_start, &mut direct).await {
        Ok(Ok(stream)) => return Ok(stream),
        Ok(Err(why)) => return Err((why, tunnel.await)),
        Err(_) => {}
    }
    tokio::select! {
        direct = &mut direct => match direct {
            Ok(stream) => Ok(stream),
            Err(why) => Err((why, tunnel.await)),
        },
        tunnel = &mut tunnel => match tunnel {
            Ok(tunnel) => Err(("the server is silent".to_owned(), Ok(tunnel))),
            Err(error) => direct.await.map_err(|why| (why, Err(error))),
        },
    }
}

/// Connects to a server to which this host has lost its path.
async fn open_on_lost_path(
    node: &Rc<Node>,
    target: Target<'_>,
    until: Instant,
) -> Result<Opened, ConnectError> {
    match tunnel::open(node, target, until).await {
        Ok((tunnel, host)) => return Ok(Opened::Tunnel(tunnel, host)),
        Err(TunnelError::ServerDown) => {
            let why = "other hosts cannot connect to the server";
            return Err(ConnectError::ServerDown(why.to_owned()));
        }
        Err(TunnelError::NoHost) => {}
    }
    // The path may have come back since the last probe.
    let until = until.min(Instant::now() + DIRECT_HEAD_START);
    let direct = connect(node, target.server.address, until).await;
    direct.map(Opened::Direct).map_err(ConnectError::NoPath)
}

/// Connects to a server directly until the time `until`.
pub(super) async fn connect(
    node: &Node,
    server: SocketAddr,
    until: Instant,
) -> Result<TcpStream, String> {
    let connected = tokio::time::timeout_at(until, node.links.connect(server)).await;
    let stream = connected
        .map_err(|_| "the connection was not established in time".to_owned())?
        .map_err(|error| error.to_string())?;
    crate::process::configure_server_connection(&stream);
    node.record_reached_path(server);
    Ok(stream)
}

/// Whether a connection broke because this host has lost its path to the server, which other hosts still reach.
pub(super) async fn is_path_lost(node: &Rc<Node>, target: Target<'_>) -> bool {
    let until = Instant::now() + CHECK_TIMEOUT;
    let opened = open(node, target, until).await;
    matches!(
        opened,
        Ok(Opened::Tunnel(..)) | Err(ConnectError::NoPath(_))
    )
}

/// Probes lost paths, so that requests return to those that work again.
pub(super) async fn probe_paths(node: Rc<Node>) {
    loop {
        tokio::time::sleep(PROBE_SCAN_INTERVAL).await;
        let probes = node.paths.borrow_mut().take_probes(MAX_PROBES, node.now());
        for server in probes {
            let node = Rc::clone(&node);
            tokio::task::spawn_local(async move {
                let until = Instant::now() + PROBE_TIMEOUT;
                if let Err(why) = connect(&node, server, until).await {
                    log::debug!("the path to {server} is still lost: {why}");
                }
            });
        }
    }
}

/// # Paths to backend servers
impl Node {
    /// Whether this host reaches servers other than `except`, so that `except` itself is at fault if it cannot be reached.
    pub(super) async fn reaches_others(&self, except: SocketAddr) -> bool {
        let (is_isolated, last_reached) = {
            let paths = self.paths.borrow();
            (paths.is_isolated(), paths.last_reached(except))
        };
        let other = last_reached.or_else(|| self.any_server(except));
        match other {
            _ if is_isolated => false,
            None => true,
            Some(other) => {
                let until = Instant::now() + DIRECT_HEAD_START;
                connect(self, other, until).await.is_ok()
            }
        }
    }

    /// The address of a listed server other than `except`.
    fn any_server(&self, except: SocketAddr) -> Option<SocketAddr> {
        let server_lists = self.server_lists.borrow();
        let mut addresses = server_lists.get_subset().servers.iter();
        let other = addresses.find(|server| server.address != except && !server.leaving);
        other.map(|server| server.address)
    }

    /// Whether this host has lost its paths to all servers of a service, and no other gateway tunnels connections.
    pub(super) fn is_cut_off(&self, service: &Service) -> bool {
        let paths = self.paths.borrow();
        let mut servers = service
            .pool
            .incarnations()
            .filter_map(|incarnation| service.pool.get(incarnation))
            .filter(|server| !server.leaving)
            .peekable();
        servers.peek().is_some()
            && servers.all(|server| paths.is_lost(server.address))
            && tunnel::hosts(self, None).is_empty()
    }

    /// Records that a direct connection to a server was established.
    fn record_reached_path(&self, server: SocketAddr) {
        let was_lost = self.change_paths(|paths, now| paths.record_reached(server, now));
        if was_lost {
            Line::new(Kind::PathFound)
                .with("server", server.to_string())
                .write();
        }
    }

    /// Records that this host cannot connect to a server, which may be sound; `tunnels` is the gateway that can.
    fn record_lost_path(&self, server: &Server, why: &str, tunnels: Option<SocketAddr>) {
        let is_new = self.change_paths(|paths, now| paths.record_lost(server.address, now));
        if !is_new {
            return;
        }
        metrics::counter!("curlewlift_paths_lost").increment(1);
        if tunnels.is_some() {
            // What was recorded against the server came over the lost path.
            self.with_service(&server.service, |service| {
                service.pool.forgive_breaks(&server.incarnation);
            });
        }
        Line::new(Kind::PathLost)
            .with("server", &*server.incarnation)
            .with("address", server.address.to_string())
            .with("why", why)
            .with("tunnels", tunnels.map(|tunnels| tunnels.to_string()))
            .write();
    }

    /// Changes the paths, and tells the hub at once if this gateway begins or ends to tunnel connections for others.
    fn change_paths<T>(&self, change: impl FnOnce(&mut Paths, clock::Instant) -> T) -> T {
        let now = self.now();
        let mut paths = self.paths.borrow_mut();
        let was_isolated = paths.is_isolated();
        let result = change(&mut paths, now);
        if paths.is_isolated() != was_isolated {
            self.poll_wakeup.notify_one();
        }
        result
    }
}

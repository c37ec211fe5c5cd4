//! Opens tunnels to backend servers through other gateways, with the CONNECT method of HTTP.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use axum::http::HeaderValue;
use axum::http::Method;
use axum::http::Request;
use axum::http::StatusCode;
use bytes::Bytes;
use curlewlift_core::gateway::Server;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper::upgrade::Upgraded;
use hyper_util::rt::TokioIo;
use tokio::io::Join;
use tokio::io::WriteHalf;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::node::Node;
use super::tunnel_frames;
use super::tunnel_frames::Reader;

/// Header with the server, as JSON.
pub(super) const SERVER: &str = "curlewlift-server";

/// Header with the time that the connection to the server may take, in milliseconds.
pub(super) const TIME_LIMIT: &str = "curlewlift-time-limit-ms";

/// How long a gateway may take to accept a connection.
const HOST_TIMEOUT: Duration = Duration::from_millis(150);

/// Part of the time limit that is left for the reply.
const REPLY_MARGIN: Duration = Duration::from_millis(30);

/// An open tunnel to a server. Its end is the end of the server's connection; if the gateway that it goes through ends, it
/// fails.
pub(super) type Tunnel = Join<Reader, WriteHalf<TokioIo<Upgraded>>>;

/// The server to connect to.
#[derive(Clone, Copy)]
pub(super) struct Target<'a> {
    pub(super) server: &'a Arc<Server>,
    /// The data halls that the request must stay in, if it must.
    pub(super) allowed_halls: Option<&'a [Arc<str>]>,
}

/// Why there is no tunnel.
#[derive(Debug)]
pub(super) enum TunnelError {
    /// Another host, which reaches other servers, cannot connect to the server.
    ServerDown,
    /// No gateway opened one.
    NoHost,
}

/// The result of asking one gateway for a tunnel.
enum Response {
    Opened(Tunnel),
    /// The gateway reaches other servers, but not this one.
    ServerDown,
    /// The server has told that gateway's host to send nothing.
    Excluded,
}

/// The gateways to ask for a tunnel.
pub(super) fn hosts(node: &Node, allowed_halls: Option<&[Arc<str>]>) -> Vec<SocketAddr> {
    let membership = node.membership.borrow();
    let own = node.gateway.callers;
    let tunnel_hosts = node.tunnel_hosts.borrow();
    let (now, mut random) = (node.now(), rand::rng());
    node.stopping_gateways.read(|stopping| {
        tunnel_hosts.choose(&membership, stopping, own, allowed_halls, now, &mut random)
    })
}

/// Opens a tunnel to a server until the time `until`. Returns it with the address of the gateway that it goes through.
pub(super) async fn open(
    node: &Rc<Node>,
    target: Target<'_>,
    until: Instant,
) -> Result<(Tunnel, SocketAddr), TunnelError> {
    for host in hosts(node, target.allowed_halls) {
        let response = tokio::time::timeout_at(until, request(host, target.server, until)).await;
        let failure = match response {
            Ok(Ok(Response::Opened(tunnel))) => {
                metrics::counter!("curlewlift_tunnels").increment(1);
                return Ok((tunnel, host));
            }
            Ok(Ok(Response::ServerDown)) => return Err(TunnelError::ServerDown),
            Ok(Ok(Response::Excluded)) => continue,
            Ok(Err(why)) => why,
            Err(_) => "no reply within the time limit".to_owned(),
        };
        log::debug!("{host} opened no tunnel: {failure}");
        let now = node.now();
        node.tunnel_hosts.borrow_mut().record_failure(host, now);
    }
    Err(TunnelError::NoHost)
}

/// Asks the gateway at `host` for a tunnel.
async fn request(host: SocketAddr, server: &Server, until: Instant) -> Result<Response, String> {
    let stream = tokio::time::timeout(HOST_TIMEOUT, TcpStream::connect(host)).await;
    let stream = stream
        .map_err(|_| "no connection within the time limit".to_owned())?
        .map_err(|error| error.to_string())?;
    crate::process::configure_server_connection(&stream);
    let handshake = http1::handshake::<_, Empty<Bytes>>(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|error| error.to_string())?;
    tokio::task::spawn_local(async move {
        if let Err(error) = connection.with_upgrades().await {
            log::debug!("the tunnel through {host} failed: {error}");
        }
    });
    let response = sender.send_request(connect_request(server, until)?).await;
    let response = response.map_err(|error| error.to_string())?;
    match response.status() {
        StatusCode::OK => {
            let upgraded = hyper::upgrade::on(response).await;
            let upgraded = upgraded.map_err(|error| error.to_string())?;
            let (reader, writer) = tokio::io::split(TokioIo::new(upgraded));
            let tunnel = tokio::io::join(tunnel_frames::reader(reader), writer);
            Ok(Response::Opened(tunnel))
        }
        StatusCode::BAD_GATEWAY => Ok(Response::ServerDown),
        StatusCode::CONFLICT => Ok(Response::Excluded),
        status => Err(format!("status {status}")),
    }
}

/// The request for a tunnel to `server`.
fn connect_request(server: &Server, until: Instant) -> Result<Request<Empty<Bytes>>, String> {
    let time_limit = until.saturating_duration_since(Instant::now());
    let time_limit = time_limit.saturating_sub(REPLY_MARGIN).as_millis();
    let json = serde_json::to_string(server).map_err(|error| error.to_string())?;
    let json = HeaderValue::from_str(&json).map_err(|error| error.to_string())?;
    let request = Request::builder()
        .method(Method::CONNECT)
        .uri(server.address.to_string())
        .header(SERVER, json)
        .header(TIME_LIMIT, time_limit.to_string())
        .body(Empty::new());
    request.map_err(|error| error.to_string())
}

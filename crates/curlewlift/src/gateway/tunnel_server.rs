//! Tunnels connections to backend servers for gateways on hosts that have lost their own paths.
//!
//! Slots, quotas, retries and limits are counted at the gateway that took the request. This one copies bytes, and reads
//! only what a server announces about itself to this host.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::Request;
use axum::http::Response;
use axum::http::StatusCode;
use bytes::Bytes;
use curlewlift_core::code::Refusal;
use curlewlift_core::gateway::Server;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::upgrade::Upgraded;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::process;

use super::connect;
use super::connect::DIRECT_HEAD_START;
use super::held_bytes::HeldBytes;
use super::node::Node;
use super::open::OpenGuard;
use super::response_head::ResponseHeadParser;
use super::service::Service;
use super::tunnel::SERVER;
use super::tunnel::TIME_LIMIT;
use super::tunnel_frames::FrameBuffer;

/// What a tunnel holds: its buffers, and parts of those of its two connections.
const TUNNEL_BYTES: usize = 32 << 10;

/// The longest time that a connection to a server may take.
const MAX_TIME_LIMIT: Duration = Duration::from_secs(1);

/// How long the gateway that asked for a tunnel may take to read the end of a response.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a failed accept, for file descriptors to become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Tunnels connections for other gateways at `address`.
pub(super) fn serve(node: &Rc<Node>, address: SocketAddr) -> Result<(), Refusal> {
    let listener = process::tokio_listener(process::bind(address)?)?;
    tokio::task::spawn_local(accept(Rc::clone(node), listener));
    Ok(())
}

async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                process::configure_server_connection(&stream);
                let node = Rc::clone(&node);
                let service = service_fn(move |request| respond(Rc::clone(&node), request));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::task::spawn_local(async move {
                    if let Err(why) = connection.with_upgrades().await {
                        log::debug!("a request for a tunnel failed: {why}");
                    }
                });
            }
            Err(why) => {
                log::warn!("accepting a request for a tunnel failed: {why}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Responds to a request for a tunnel: 200 if it is open, 502 if the server accepts no connections, 409 if this host must
/// send it nothing, and 503 if this host cannot tell or is full.
async fn respond(
    node: Rc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Empty<Bytes>>, hyper::Error> {
    let status = match parse(&request) {
        Ok((server, time_limit)) => match open(&node, &server, time_limit).await {
            Ok((stream, memory)) => {
                let guard = (memory, OpenGuard::new(&node));
                tokio::task::spawn_local(async move {
                    match hyper::upgrade::on(request).await {
                        Ok(upgraded) => copy(&node, &server, upgraded, stream).await,
                        Err(why) => log::debug!("a tunnel was given up: {why}"),
                    }
                    drop(guard);
                });
                StatusCode::OK
            }
            Err(status) => status,
        },
        Err(why) => {
            log::warn!("a request for a tunnel is invalid: {why}");
            StatusCode::BAD_REQUEST
        }
    };
    let mut response = Response::new(Empty::new());
    *response.status_mut() = status;
    Ok(response)
}

/// The server of a request for a tunnel, and the time that the connection to it may take.
fn parse(request: &Request<Incoming>) -> Result<(Arc<Server>, Duration), String> {
    if request.method() != Method::CONNECT {
        return Err(format!("the method is {}", request.method()));
    }
    let field = |name| {
        let value = request.headers().get(name);
        value.ok_or_else(|| format!("there is no header {name}"))
    };
    let server = serde_json::from_slice(field(SERVER)?.as_bytes());
    let server: Server = server.map_err(|error| format!("{SERVER}: {error}"))?;
    let time_limit = field(TIME_LIMIT)?.to_str().ok();
    let time_limit = time_limit.and_then(|text| text.parse().ok());
    let time_limit = time_limit.ok_or_else(|| format!("{TIME_LIMIT} is no number"))?;
    let time_limit = Duration::from_millis(time_limit).min(MAX_TIME_LIMIT);
    Ok((Arc::new(server), time_limit))
}

/// Connects to a server, and holds the memory of a tunnel to it; or returns the status that says why not.
async fn open(
    node: &Rc<Node>,
    server: &Server,
    time_limit: Duration,
) -> Result<(TcpStream, HeldBytes), StatusCode> {
    let is_lost = node.paths.borrow().is_lost(server.address);
    let memory = HeldBytes::new(node);
    if node.is_stopping() || is_lost || !memory.try_extend(TUNNEL_BYTES) {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    if node.must_not_send(server) {
        return Err(StatusCode::CONFLICT);
    }
    let until = Instant::now() + time_limit;
    let mut direct = pin!(connect::connect(node, server.address, until));
    let head_start = until.min(Instant::now() + DIRECT_HEAD_START);
    let early = tokio::time::timeout_at(head_start, &mut direct).await;
    if let Ok(Ok(stream)) = early {
        return Ok((stream, memory));
    }
    if !node.reaches_others(server.address).await {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let connected = match early {
        Ok(failed) => failed,
        Err(_) => direct.await,
    };
    let stream = connected.map_err(|_| StatusCode::BAD_GATEWAY)?;
    Ok((stream, memory))
}

impl Node {
    /// Whether a server has told this host to send nothing, or is leaving, or its data hall is being evacuated.
    fn must_not_send(&self, server: &Server) -> bool {
        if self.policy.borrow().is_evacuated(&server.hall) {
            return true;
        }
        let now = self.now();
        let is_excluded = |service: &mut Service| {
            let listed = service.pool.get(&server.incarnation);
            let is_leaving = listed.is_some_and(|listed| listed.leaving);
            let notices = service.pool.get_notices();
            is_leaving || notices.excludes(&server.incarnation, now)
        };
        self.with_service(&server.service, is_excluded) == Some(true)
    }
}

/// Copies bytes in both directions until one of the connections ends. The other gateway is told if the server has closed
/// its connection, as that may be the end of a response.
async fn copy(node: &Rc<Node>, server: &Arc<Server>, upgraded: Upgraded, stream: TcpStream) {
    let Ok(parts) = upgraded.downcast::<TokioIo<TcpStream>>() else {
        log::error!("a tunnel is not over TCP");
        return;
    };
    let mut origin = parts.io.into_inner();
    let mut stream = stream;
    let (mut origin_reader, mut origin_writer) = origin.split();
    let (mut reader, mut writer) = stream.split();
    let is_broken = Cell::new(false);
    let requests = async {
        let copied = async {
            writer.write_all(&parts.read_buf).await?;
            tokio::io::copy(&mut origin_reader, &mut writer).await
        };
        if copied.await.is_err() {
            is_broken.set(true);
            // A server may respond and close its connection before it has read the whole request.
            let _ = tokio::io::copy(&mut origin_reader, &mut tokio::io::sink()).await;
        }
    };
    let record = |status, headers: &HeaderMap| {
        let head = (node.dialect.parse_response)(status, headers);
        // Another incarnation at the address speaks for itself only.
        if !head.moved {
            node.record_notices(&server.service, server, &head.notices);
        }
    };
    let responses = copy_responses(&mut reader, &mut origin_writer, record, &is_broken);
    let ended = tokio::select! {
        // The origin closes its connection when nobody waits for the response any more.
        () = requests => return,
        ended = responses => ended,
    };
    if let Err(why) = ended {
        log::debug!("a tunnel ended without the end of its response: {why}");
    }
    // Closing with unread bytes would reset the connection, and the end of the response could be lost.
    let _ = origin.shutdown().await;
    let mut rest = [0; 1 << 10];
    let drained = async { while matches!(origin.read(&mut rest).await, Ok(1..)) {} };
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, drained).await;
}

/// Copies responses into frames until the server closes its connection, and passes their heads to `record`. A connection that
/// could not be written to has not been closed in order: the failed write has consumed the error.
async fn copy_responses(
    reader: &mut (impl AsyncReadExt + Unpin),
    writer: &mut (impl AsyncWriteExt + Unpin),
    record: impl Fn(u16, &HeaderMap),
    is_broken: &Cell<bool>,
) -> std::io::Result<()> {
    let mut parser = Some(ResponseHeadParser::default());
    let mut frame = FrameBuffer::default();
    loop {
        let count = reader.read(frame.content()).await?;
        if count == 0 && is_broken.get() {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        parser = parser.and_then(|parser| parser.push(&frame.content()[..count], &record));
        frame.write(count, writer).await?;
        if count == 0 {
            return Ok(());
        }
    }
}

//! Client for calls to other processes. Keeps one connection per address, opened on first use.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Stamp;
use curlewlift_wire::node_capnp::Method;
use curlewlift_wire::node_capnp::node;
use futures::AsyncReadExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::timeline::Timeline;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

type CallResult = Result<Vec<u8>, Refusal>;

/// A call that waits for its reply.
struct PendingCall {
    address: SocketAddr,
    method: Method,
    body: Vec<u8>,
    timeout: Duration,
    reply: oneshot::Sender<CallResult>,
}

/// A handle for calls to other processes. Clones share their connections.
#[derive(Clone)]
pub(crate) struct Client {
    calls: mpsc::UnboundedSender<PendingCall>,
    timeline: Timeline,
}

/// An open connection, which is closed once nobody holds it any more.
struct Connection {
    client: node::Client,
    /// Its end stops the task that runs the connection.
    _is_held: oneshot::Sender<()>,
}

/// The connections for new calls. Calls hold theirs until they end.
type Connections = Rc<RefCell<HashMap<SocketAddr, Rc<Connection>>>>;

impl Client {
    /// Creates a client whose calls run on the current local task set.
    pub(crate) fn new(timeline: Timeline) -> Self {
        let (calls, mut queue) = mpsc::unbounded_channel::<PendingCall>();
        let connections = Connections::default();
        let call_timeline = timeline.clone();
        tokio::task::spawn_local(async move {
            while let Some(pending) = queue.recv().await {
                tokio::task::spawn_local(run(
                    pending,
                    Rc::clone(&connections),
                    call_timeline.clone(),
                ));
            }
        });
        Self { calls, timeline }
    }

    /// The timeline whose clock stamps the calls.
    pub(crate) fn get_timeline(&self) -> &Timeline {
        &self.timeline
    }

    /// Calls `method` of the process at `address` and waits for the reply until `timeout` has
    /// passed.
    pub(crate) async fn call<Q, A>(
        &self,
        address: SocketAddr,
        method: Method,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, Refusal>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let (reply, receiver) = oneshot::channel();
        let body = super::encode(request);
        let pending = PendingCall {
            address,
            method,
            body,
            timeout,
            reply,
        };
        let shutting_down = || unreachable(address, "this process is shutting down");
        self.calls.send(pending).map_err(|_| shutting_down())?;
        let bytes = receiver.await.map_err(|_| shutting_down())??;
        super::decode(&bytes)
    }
}

async fn run(pending: PendingCall, connections: Connections, timeline: Timeline) {
    let PendingCall {
        address,
        method,
        body,
        timeout,
        reply,
    } = pending;
    let call = async {
        let until = Instant::now() + timeout;
        let connected = tokio::time::timeout_at(until, connect(address, &connections)).await;
        let connection = connected.map_err(|_| no_reply(address))??;
        let exchange = exchange(&connection, method, &body, &timeline);
        let failure = match tokio::time::timeout_at(until, exchange).await {
            Ok(Ok(reply)) => return reply,
            Ok(Err(error)) => unreachable(address, &error.to_string()),
            Err(_) => no_reply(address),
        };
        remove(&connections, address, &connection);
        Err(failure)
    };
    let mut reply = reply;
    let result = tokio::select! {
        result = call => result,
        () = reply.closed() => return,
    };
    let _ = reply.send(result);
}

/// Sends a call and waits for its reply, which may be a refusal.
async fn exchange(
    connection: &Connection,
    method: Method,
    body: &[u8],
    timeline: &Timeline,
) -> Result<CallResult, capnp::Error> {
    let mut request = connection.client.call_request();
    let mut params = request.get();
    params.set_method(method);
    params.set_body(body);
    params.set_stamp(timeline.stamp().0);
    let response = request.send().promise.await?;
    let reply = response.get()?.get_reply()?;
    timeline.observe(Stamp(reply.get_stamp()));
    let body = reply.get_body()?.to_vec();
    Ok(match reply.get_code() {
        0 => Ok(body),
        number => {
            let code = Code::try_from(number).unwrap_or(Code::Internal);
            Err(Refusal::new(code, String::from_utf8_lossy(&body)))
        }
    })
}

/// Returns the connection to `address`, and opens one if there is none.
async fn connect(
    address: SocketAddr,
    connections: &Connections,
) -> Result<Rc<Connection>, Refusal> {
    let known = || connections.borrow().get(&address).cloned();
    if let Some(connection) = known() {
        return Ok(connection);
    }
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| unreachable(address, "no connection within the time limit"))?;
    let stream = stream.map_err(|error| unreachable(address, &error.to_string()))?;
    // Another call may have opened one meanwhile.
    if let Some(connection) = known() {
        return Ok(connection);
    }
    crate::process::configure_connection(&stream);
    let (reader, writer) = stream.compat().split();
    let network = VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        Side::Client,
        capnp::message::ReaderOptions::default(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: node::Client = system.bootstrap(Side::Server);
    let (is_held, released) = oneshot::channel();
    let connection = Rc::new(Connection {
        client,
        _is_held: is_held,
    });
    let open_connections = Rc::clone(connections);
    let opened = Rc::downgrade(&connection);
    tokio::task::spawn_local(async move {
        tokio::select! {
            _ = system => {}
            _ = released => {}
        }
        if let Some(connection) = opened.upgrade() {
            remove(&open_connections, address, &connection);
        }
    });
    let mut connections = connections.borrow_mut();
    connections.insert(address, Rc::clone(&connection));
    Ok(connection)
}

/// Lets new calls to `address` open another connection, unless there is a newer one than `connection` already.
fn remove(connections: &Connections, address: SocketAddr, connection: &Rc<Connection>) {
    let mut connections = connections.borrow_mut();
    let current = connections.get(&address);
    if current.is_some_and(|current| Rc::ptr_eq(current, connection)) {
        connections.remove(&address);
    }
}

fn no_reply(address: SocketAddr) -> Refusal {
    unreachable(address, "no reply within the time limit")
}

fn unreachable(address: SocketAddr, reason: &str) -> Refusal {
    Refusal::new(Code::Unreachable, format!("{address}: {reason}"))
}

#[cfg(test)]
mod tests;

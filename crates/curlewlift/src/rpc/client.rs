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

type Connections = Rc<RefCell<HashMap<SocketAddr, node::Client>>>;

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
    let call = call(address, method, body, &connections, &timeline);
    let mut reply = reply;
    let result = tokio::select! {
        result = tokio::time::timeout(timeout, call) => result,
        () = reply.closed() => return,
    };
    let result = result.unwrap_or_else(|_| {
        connections.borrow_mut().remove(&address);
        Err(unreachable(address, "no reply within the time limit"))
    });
    let _ = reply.send(result);
}

async fn call(
    address: SocketAddr,
    method: Method,
    body: Vec<u8>,
    connections: &Connections,
    timeline: &Timeline,
) -> CallResult {
    let client = connect(address, connections).await?;
    let mut request = client.call_request();
    let mut params = request.get();
    params.set_method(method);
    params.set_body(&body);
    params.set_stamp(timeline.stamp().0);
    let connection_failed = |error: capnp::Error| {
        connections.borrow_mut().remove(&address);
        unreachable(address, &error.to_string())
    };
    let response = request.send().promise.await.map_err(connection_failed)?;
    let reply = response
        .get()
        .and_then(curlewlift_wire::node_capnp::node::call_results::Reader::get_reply)
        .map_err(connection_failed)?;
    timeline.observe(Stamp(reply.get_stamp()));
    let body = reply.get_body().map_err(connection_failed)?.to_vec();
    match reply.get_code() {
        0 => Ok(body),
        number => {
            let code = Code::try_from(number).unwrap_or(Code::Internal);
            Err(Refusal::new(code, String::from_utf8_lossy(&body)))
        }
    }
}

async fn connect(address: SocketAddr, connections: &Connections) -> Result<node::Client, Refusal> {
    if let Some(client) = connections.borrow().get(&address) {
        return Ok(client.clone());
    }
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| unreachable(address, "no connection within the time limit"))?;
    let stream = stream.map_err(|error| unreachable(address, &error.to_string()))?;
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
    let open_connections = Rc::clone(connections);
    tokio::task::spawn_local(async move {
        let _ = system.await;
        open_connections.borrow_mut().remove(&address);
    });
    connections.borrow_mut().insert(address, client.clone());
    Ok(client)
}

fn unreachable(address: SocketAddr, reason: &str) -> Refusal {
    Refusal::new(Code::Unreachable, format!("{address}: {reason}"))
}

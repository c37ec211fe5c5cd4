//! Calls other processes; one connection to each address, made when it is needed.

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

/// How long a connection may take to be made.
const CONNECT: Duration = Duration::from_secs(1);

type Answer = Result<Vec<u8>, Refusal>;

/// One call on its way.
struct Job {
    address: SocketAddr,
    method: Method,
    body: Vec<u8>,
    timeout: Duration,
    answer: oneshot::Sender<Answer>,
}

/// A handle that calls other processes; clones share their connections.
#[derive(Clone)]
pub(crate) struct Client {
    jobs: mpsc::UnboundedSender<Job>,
    timeline: Timeline,
}

type Connections = Rc<RefCell<HashMap<SocketAddr, node::Client>>>;

impl Client {
    /// A client whose calls run on the present local set.
    pub(crate) fn new(timeline: Timeline) -> Self {
        let (jobs, mut queue) = mpsc::unbounded_channel::<Job>();
        let connections = Connections::default();
        let stamps = timeline.clone();
        tokio::task::spawn_local(async move {
            while let Some(job) = queue.recv().await {
                tokio::task::spawn_local(run(job, Rc::clone(&connections), stamps.clone()));
            }
        });
        Self { jobs, timeline }
    }

    /// The time line whose clock its calls carry.
    pub(crate) fn get_timeline(&self) -> &Timeline {
        &self.timeline
    }

    /// Asks the process at `address`.
    pub(crate) async fn call<Q, A>(
        &self,
        address: SocketAddr,
        method: Method,
        question: &Q,
        timeout: Duration,
    ) -> Result<A, Refusal>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let (answer, wait) = oneshot::channel();
        let body = super::encode(question);
        let job = Job {
            address,
            method,
            body,
            timeout,
            answer,
        };
        let gone = || unreachable(address, "this process is ending");
        self.jobs.send(job).map_err(|_| gone())?;
        let bytes = wait.await.map_err(|_| gone())??;
        super::decode(&bytes)
    }
}

async fn run(job: Job, connections: Connections, timeline: Timeline) {
    let Job {
        address,
        method,
        body,
        timeout,
        answer,
    } = job;
    let call = call(address, method, body, &connections, &timeline);
    let mut answer = answer;
    let result = tokio::select! {
        result = tokio::time::timeout(timeout, call) => result,
        () = answer.closed() => return,
    };
    let result = result.unwrap_or_else(|_| {
        connections.borrow_mut().remove(&address);
        Err(unreachable(address, "no answer in time"))
    });
    let _ = answer.send(result);
}

async fn call(
    address: SocketAddr,
    method: Method,
    body: Vec<u8>,
    connections: &Connections,
    timeline: &Timeline,
) -> Answer {
    let client = connect(address, connections).await?;
    let mut request = client.call_request();
    let mut params = request.get();
    params.set_method(method);
    params.set_body(&body);
    params.set_stamp(timeline.stamp().0);
    let broken = |why: capnp::Error| {
        connections.borrow_mut().remove(&address);
        unreachable(address, &why.to_string())
    };
    let response = request.send().promise.await.map_err(broken)?;
    let reply = response
        .get()
        .and_then(curlewlift_wire::node_capnp::node::call_results::Reader::get_reply)
        .map_err(broken)?;
    timeline.observe(Stamp(reply.get_stamp()));
    let body = reply.get_body().map_err(broken)?.to_vec();
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
    let stream = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| unreachable(address, "no connection in time"))?;
    let stream = stream.map_err(|why| unreachable(address, &why.to_string()))?;
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
    let ended = Rc::clone(connections);
    tokio::task::spawn_local(async move {
        let _ = system.await;
        ended.borrow_mut().remove(&address);
    });
    connections.borrow_mut().insert(address, client.clone());
    Ok(client)
}

fn unreachable(address: SocketAddr, why: &str) -> Refusal {
    Refusal::new(Code::Unreachable, format!("{address}: {why}"))
}

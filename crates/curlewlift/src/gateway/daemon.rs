//! Starts a gateway and drives it.

use std::fmt;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use axum::http::HeaderValue;
use axum::http::Request;
use axum::http::header;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::gateway;
use curlewlift_core::id;
use curlewlift_core::pool::Allowed;
use curlewlift_core::quota::Tolerance;
use curlewlift_core::route::Limits;
use hyper::body::Incoming;

use crate::control::Control;
use crate::control::Decode;
use crate::control::Gateways;
use crate::control::Locate;
use crate::process;
use crate::process::Order;
use crate::process::Process;
use crate::process::Signal;
use crate::rpc;
use crate::timeline::Timeline;

use super::body::Answer;
use super::dialect::Dialect;
use super::lists;
use super::lists::Fetch;
use super::log::Line;
use super::node::Node;
use super::request;
use super::serve;
use super::stop;
use super::stop::Grace;
use super::sync;

/// Between two looks at those who wait for a turn: a server that was left alone is tried again.
const TICK: Duration = Duration::from_millis(50);

/// Between two looks whether the control replica has ended, and before it is started anew.
const REVIVE: Duration = Duration::from_millis(500);

/// What a gateway finds around it.
pub(crate) struct Surroundings {
    /// Where control replicas may be found; read anew each time.
    pub(crate) seeds: Box<dyn Fn() -> Vec<SocketAddr>>,
    /// Where the control replica on a host is reached.
    pub(crate) locate: Locate,
    /// Reads the document of a routing table.
    pub(crate) decode: Decode,
}

/// The control replica that runs in the same process.
#[derive(Clone)]
pub(crate) struct Beside {
    /// Where it is reached.
    pub(crate) rpc: SocketAddr,
    /// The folder of its files.
    pub(crate) data: PathBuf,
    /// Whether it founds the log where the folder is empty.
    pub(crate) found: bool,
    /// The other replicas that are known at the start.
    pub(crate) peers: std::collections::BTreeMap<id::Host, SocketAddr>,
    /// What it needs to serve gateways.
    pub(crate) gateways: Gateways,
}

/// A gateway, to be started.
pub(crate) struct Gateway {
    pub(crate) host: id::Host,
    pub(crate) known_as: gateway::Gateway,
    pub(crate) callers: TcpListener,
    pub(crate) dialect: Dialect,
    pub(crate) allowed: Allowed,
    pub(crate) tolerance: Tolerance,
    pub(crate) grace: Grace,
    pub(crate) beside: Option<Beside>,
}

impl fmt::Debug for Gateway {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gateway")
            .field("host", &self.host)
            .finish_non_exhaustive()
    }
}

/// What else runs beside a gateway's own tasks: what is served on other addresses, and its end.
pub(crate) type Beginning = Box<dyn FnOnce(&Rc<Node>, &Rc<Surroundings>) -> Result<(), Refusal>>;

impl Gateway {
    /// Starts it on a thread of its own; `around` and `also` are made there.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] where a listener or thread cannot be had.
    pub(crate) fn start<M>(self, make: M) -> Result<Process, Refusal>
    where
        M: FnOnce() -> (Surroundings, Fetch, Beginning) + Send + 'static,
    {
        let name = format!("gateway {}", self.host);
        Process::start(&name, move |signal| async move {
            let (around, fetch, also) = make();
            self.run(Rc::new(around), fetch, also, signal).await
        })
    }

    async fn run(
        self,
        around: Rc<Surroundings>,
        fetch: Fetch,
        also: Beginning,
        mut signal: Signal,
    ) -> Result<(), Refusal> {
        let timeline = Timeline::new(self.host.as_str());
        let client = rpc::Client::new(timeline);
        let listener = process::listener(self.callers)?;
        let host = self.host.clone();
        let node = Rc::new(Node::new(
            host,
            self.known_as,
            self.dialect,
            self.allowed,
            self.tolerance,
            client,
        ));
        Line::new(Kind::Started)
            .with("host", self.host.as_str())
            .with("hall", &*node.gateway.hall)
            .with("callers", node.gateway.callers.to_string())
            .with("replica", self.beside.is_some())
            .write();
        if let Some(beside) = self.beside {
            tokio::task::spawn_local(keep_replica(self.host, beside));
        }
        let answering = Rc::clone(&node);
        let bounded = Rc::clone(&node);
        let limits = move || {
            bounded
                .table()
                .map_or_else(Limits::default, |table| table.get_limits())
        };
        let answering = serve::serve(listener, limits, move |request| {
            answer(Rc::clone(&answering), request)
        });
        tokio::task::spawn_local(answering);
        tokio::task::spawn_local(sync::keep(Rc::clone(&node), Rc::clone(&around)));
        tokio::task::spawn_local(lists::keep(Rc::clone(&node), fetch));
        tokio::task::spawn_local(tick(Rc::clone(&node)));
        also(&node, &around)?;
        if signal.next().await == Order::Stop {
            stop::run(&node, self.grace).await;
        }
        Ok(())
    }
}

/// Counts open requests; those that a caller has left too.
struct Open(Rc<Node>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.finished.set(self.0.finished.get() + 1);
    }
}

async fn answer(node: Rc<Node>, request: Request<Incoming>) -> Answer {
    node.open.set(node.open.get() + 1);
    let open = Open(Rc::clone(&node));
    let stopping = Rc::clone(&node);
    let mut answer = request::answer(node, request).await;
    if stopping.stopping.get().is_some() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    // The request is open until its body has gone out.
    answer.map(|body| super::body::keeping(body, open))
}

async fn tick(node: Rc<Node>) {
    loop {
        tokio::time::sleep(TICK).await;
        if node.waiting() > 0 {
            node.serve_all();
        }
    }
}

/// A control replica that ends with the gateway beside which it runs.
struct Replica(Option<Process>);

impl Replica {
    fn is_ended(&self) -> bool {
        self.0.as_ref().is_none_or(Process::is_ended)
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        if let Some(process) = self.0.take() {
            process.kill();
        }
    }
}

/// Keeps a control replica running: one that its disk has failed begins anew with what the disk
/// holds, and the gateway goes on meanwhile.
async fn keep_replica(host: id::Host, beside: Beside) {
    loop {
        match start_replica(&host, &beside) {
            Ok(process) => {
                let mut replica = Replica(Some(process));
                while !replica.is_ended() {
                    tokio::time::sleep(REVIVE).await;
                }
                if let Some(Err(why)) = replica.0.take().map(Process::wait) {
                    log::error!("the control replica has ended: {why}");
                }
            }
            Err(why) => log::error!("the control replica cannot start: {why}"),
        }
        tokio::time::sleep(REVIVE).await;
    }
}

fn start_replica(host: &id::Host, beside: &Beside) -> Result<Process, Refusal> {
    let listener = TcpListener::bind(beside.rpc).map_err(|why| {
        Refusal::new(
            Code::BadSetting,
            format!("cannot listen at {}: {why}", beside.rpc),
        )
    })?;
    Control::new(host.clone(), listener)
        .data(beside.data.clone())
        .found(beside.found)
        .peers(beside.peers.clone())
        .gateways(beside.gateways.clone())
        .start()
}

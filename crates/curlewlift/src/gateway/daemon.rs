//! Starts a gateway and runs its tasks.

use std::fmt;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::gateway;
use curlewlift_core::gateway::MemoryBudget;
use curlewlift_core::gateway::ServerListCache;
use curlewlift_core::id;
use curlewlift_core::pool::RetryAllowance;
use curlewlift_core::pool::Scheduling;
use curlewlift_core::quota::Tolerance;
use curlewlift_core::route::Limits;
use curlewlift_core::route::Regions;

use crate::control::KnownHosts;
use crate::control::StoppingGateways;
use crate::links::Links;
use crate::process;
use crate::process::Clock;
use crate::process::Order;
use crate::process::Process;
use crate::process::Signal;
use crate::rpc;
use crate::timeline::Timeline;

use super::connect;
use super::dialect::Dialect;
use super::discovery;
use super::environment::Environment;
use super::hub_slots;
use super::lists;
use super::lists::Fetch;
use super::local_replica;
use super::local_replica::LocalReplica;
use super::log::Line;
use super::node::Node;
use super::open;
use super::serve;
use super::stop;
use super::stop::StopTiming;
use super::sync;
use super::tables;
use super::tunnel_server;

/// Interval at which queued requests are checked for slots that free up by the passing of time, as when a server's
/// backoff ends.
const QUEUE_SCAN_INTERVAL: Duration = Duration::from_millis(50);

/// A gateway, to be started.
pub(crate) struct Gateway {
    /// The host that it runs on.
    pub(crate) host: id::Host,
    /// The gateway as other gateways and callers know it.
    pub(crate) advertised: gateway::Gateway,
    /// Listener for callers' requests.
    pub(crate) caller_listener: TcpListener,
    /// How request and response heads are read and written.
    pub(crate) dialect: Dialect,
    /// How many retries are allowed.
    pub(crate) retry_allowance: RetryAllowance,
    /// By how much a customer's quota may be exceeded.
    pub(crate) tolerance: Tolerance,
    /// For how long requests may be forwarded by a routing table after a newer one was announced.
    pub(crate) max_outdated: Duration,
    /// Durations of a planned stop.
    pub(crate) stop_timing: StopTiming,
    /// The control replica in the same process, if the host runs one.
    pub(crate) local_replica: Option<LocalReplica>,
    /// Whether the whole deployment starts for the first time.
    pub(crate) first_start: bool,
    /// How many calls a second the platform's server list allows from all gateways together; 0 if not known.
    pub(crate) list_rate: f64,
    /// Which region each data hall is in.
    pub(crate) regions: Regions,
    /// How many bytes requests and responses may hold.
    pub(crate) memory_budget: MemoryBudget,
    /// The rate of the host's link in bytes per second; 0 if it is unknown.
    pub(crate) link_bytes_per_s: f64,
    /// The parts of scheduling under hard load that are switched on.
    pub(crate) scheduling: Scheduling,
    /// Address where it answers which hosts run control replicas, if it runs none itself.
    pub(crate) discovery_address: SocketAddr,
    /// The hosts known to run a control replica.
    pub(crate) known_replicas: KnownHosts,
    /// The gateways that are known to stop.
    pub(crate) stopping_gateways: StoppingGateways,
    /// Clock for its decisions.
    pub(crate) clock: Clock,
    /// Its links to backend servers.
    pub(crate) links: Links,
}

impl fmt::Debug for Gateway {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gateway")
            .field("host", &self.host)
            .finish_non_exhaustive()
    }
}

/// Starts the services on other addresses than the callers', once the gateway's own tasks run.
pub(crate) type StartListeners =
    Box<dyn FnOnce(&Rc<Node>, &Rc<Environment>) -> Result<(), Refusal>>;

impl Gateway {
    /// Starts the gateway on its own thread; `set_up` runs there and makes what is not `Send`.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`](curlewlift_core::code::Code::Internal) if a listener or the thread
    /// cannot be created.
    pub(crate) fn start<M>(self, set_up: M) -> Result<Process, Refusal>
    where
        M: FnOnce() -> (Environment, Fetch, StartListeners) + Send + 'static,
    {
        let name = format!("gateway {}", self.host);
        Process::start(&name, move |signal| async move {
            let (environment, fetch, start_listeners) = set_up();
            self.run(Rc::new(environment), fetch, start_listeners, signal)
                .await
        })
    }

    async fn run(
        self,
        environment: Rc<Environment>,
        fetch: Fetch,
        start_listeners: StartListeners,
        mut signal: Signal,
    ) -> Result<(), Refusal> {
        let timeline = Timeline::new(self.host.as_str());
        let client = rpc::Client::new(timeline);
        let listener = process::tokio_listener(self.caller_listener)?;
        let has_replica = self.local_replica.is_some();
        let node = Node::new(
            ServerListCache::new(self.host.clone(), has_replica),
            self.advertised,
            self.dialect,
            self.retry_allowance,
            self.tolerance,
            self.known_replicas,
            client,
        );
        let node = node.clock(self.clock).first_start(self.first_start);
        let node = node.max_outdated(self.max_outdated);
        let node = node.regions(self.regions).scheduling(self.scheduling);
        let node = node.memory_budget(self.memory_budget).links(self.links);
        let node = node.stopping_gateways(self.stopping_gateways);
        let node = node.link_bytes_per_s(self.link_bytes_per_s);
        let node = Rc::new(node);
        Line::new(Kind::Started)
            .with("host", self.host.as_str())
            .with("hall", &*node.gateway.hall)
            .with("callers", node.gateway.callers.to_string())
            .with("replica", has_replica)
            .write();
        if let Some(replica) = self.local_replica {
            tokio::task::spawn_local(local_replica::supervise(self.host, replica));
            tokio::task::spawn_local(discovery::announce_replicas(
                Rc::clone(&node),
                Rc::clone(&environment),
            ));
        } else {
            discovery::serve(&node, self.discovery_address)?;
        }
        tokio::task::spawn_local(serve_callers(Rc::clone(&node), listener));
        tokio::task::spawn_local(sync::poll_hub(Rc::clone(&node), Rc::clone(&environment)));
        tokio::task::spawn_local(tables::fetch_tables(
            Rc::clone(&node),
            Rc::clone(&environment),
        ));
        tokio::task::spawn_local(lists::fetch_lists(
            Rc::clone(&node),
            fetch,
            has_replica,
            self.list_rate,
        ));
        tokio::task::spawn_local(hub_slots::send_reports(Rc::clone(&node)));
        tokio::task::spawn_local(scan_queues(Rc::clone(&node)));
        tokio::task::spawn_local(connect::probe_paths(Rc::clone(&node)));
        if let Some(address) = node.gateway.tunnels {
            tunnel_server::serve(&node, address)?;
        }
        start_listeners(&node, &environment)?;
        if signal.next().await == Order::Stop {
            stop::run(&node, &environment, self.stop_timing).await;
        }
        Ok(())
    }
}

/// Serves callers within the limits of the table in effect.
async fn serve_callers(node: Rc<Node>, listener: tokio::net::TcpListener) {
    let limits_node = Rc::clone(&node);
    let limits = move || {
        let table = limits_node.table();
        table.map_or_else(Limits::default, |table| table.get_limits())
    };
    serve::serve(listener, limits, move |request| {
        open::handle(Rc::clone(&node), request)
    })
    .await;
}

/// Assigns slots that have become available only by the passing of time, and logs that the table is outdated.
async fn scan_queues(node: Rc<Node>) {
    let mut was_late = false;
    loop {
        tokio::time::sleep(QUEUE_SCAN_INTERVAL).await;
        node.progress.set(node.progress.get().next(node.now()));
        node.distributor.expire(node.now());
        was_late = tables::log_late(&node, was_late);
        if node.queue_len() > 0 {
            node.assign_all_slots();
        }
    }
}

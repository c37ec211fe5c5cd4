//! Starts a gateway and drives it.

use std::fmt;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::gateway;
use curlewlift_core::gateway::ServerListCache;
use curlewlift_core::id;
use curlewlift_core::pool::RetryAllowance;
use curlewlift_core::quota::Tolerance;
use curlewlift_core::route::Limits;
use curlewlift_core::route::Regions;

use crate::control::Known;
use crate::process;
use crate::process::Clock;
use crate::process::Order;
use crate::process::Process;
use crate::process::Signal;
use crate::rpc;
use crate::timeline::Timeline;

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

/// Between two looks at those who wait for a turn: a server that was left alone is tried again.
const QUEUE_SCAN_INTERVAL: Duration = Duration::from_millis(50);

/// A gateway, to be started.
pub(crate) struct Gateway {
    /// The host that it runs on.
    pub(crate) host: id::Host,
    /// What other gateways and callers know it as.
    pub(crate) advertised: gateway::Gateway,
    /// Where callers reach it.
    pub(crate) caller_listener: TcpListener,
    /// How heads are read and written.
    pub(crate) dialect: Dialect,
    /// How many sendings past the first are allowed.
    pub(crate) retry_allowance: RetryAllowance,
    /// How much more than an allowance may be let in.
    pub(crate) tolerance: Tolerance,
    /// How long a planned stop takes.
    pub(crate) stop_timing: StopTiming,
    /// The control replica beside it, where the host has one.
    pub(crate) local_replica: Option<LocalReplica>,
    /// Whether the whole deployment starts for the first time.
    pub(crate) first_start: bool,
    /// How many calls a second the platform's list takes from all gateways together; 0 where that is not known.
    pub(crate) list_rate: f64,
    /// Which region each data hall is in.
    pub(crate) regions: Regions,
    /// Where it tells others of control, where it has none.
    pub(crate) discovery_address: SocketAddr,
    /// The hosts that are known to keep a control replica.
    pub(crate) known_replicas: Known,
    /// What its decisions go by.
    pub(crate) clock: Clock,
}

impl fmt::Debug for Gateway {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gateway")
            .field("host", &self.host)
            .finish_non_exhaustive()
    }
}

/// Starts what runs beside a gateway's own tasks: what is served on other addresses.
pub(crate) type StartListeners =
    Box<dyn FnOnce(&Rc<Node>, &Rc<Environment>) -> Result<(), Refusal>>;

impl Gateway {
    /// Starts it on a thread of its own, with what `set_up` makes there.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`](curlewlift_core::code::Code::Internal) where a listener or thread cannot
    /// be had.
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
        let listener = process::listener(self.caller_listener)?;
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
        let node = node.regions(self.regions);
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
        start_listeners(&node, &environment)?;
        if signal.next().await == Order::Stop {
            stop::run(&node, self.stop_timing).await;
        }
        Ok(())
    }
}

/// Answers callers within the limits of the table in force.
async fn serve_callers(node: Rc<Node>, listener: tokio::net::TcpListener) {
    let limits_node = Rc::clone(&node);
    let limits = move || {
        let table = limits_node.table();
        table.map_or_else(Limits::default, |table| table.get_limits())
    };
    serve::serve(listener, limits, move |request| {
        open::answer(Rc::clone(&node), request)
    })
    .await;
}

/// Gives turns that only the passing of time has made possible.
async fn scan_queues(node: Rc<Node>) {
    loop {
        tokio::time::sleep(QUEUE_SCAN_INTERVAL).await;
        if node.queue_len() > 0 {
            node.assign_all_slots();
        }
    }
}

//! Starts an entry and runs its tasks.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::id;
use curlewlift_core::view::LeaseTiming;
use curlewlift_core::view::Member;
use rand::Rng;
use tokio::sync::oneshot;

use crate::process;
use crate::process::Clock;
use crate::process::Order;
use crate::process::Process;
use crate::process::Signal;
use crate::rpc;
use crate::timeline::Timeline;

use super::calls;
use super::http;
use super::node::Node;
use super::owner;
use super::renew;
use super::stop;

/// Interval between two scans of the owned queues.
const QUEUE_SCAN_INTERVAL: Duration = Duration::from_millis(50);

/// The settings of an entry that is to be started.
///
/// # Examples
///
/// ```no_run
/// use std::net::TcpListener;
/// let rpc = TcpListener::bind("127.0.0.1:0")?;
/// let http = TcpListener::bind("127.0.0.1:0")?;
/// let entry = curlewlift::Entry::new("e1".parse()?, "waw-a".parse()?, rpc, http)
///     .control(vec!["127.0.0.1:7001".parse()?])
///     .start()?;
/// entry.stop();
/// entry.wait()?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct Entry {
    host: id::Host,
    hall: id::Hall,
    rpc: TcpListener,
    http: TcpListener,
    control: Vec<SocketAddr>,
    lease: LeaseTiming,
    keep: Duration,
}

/// # Settings
impl Entry {
    /// Creates an entry on `host` in `hall`. Other processes reach it at `rpc`, callers at `http`.
    #[must_use]
    pub fn new(host: id::Host, hall: id::Hall, rpc: TcpListener, http: TcpListener) -> Self {
        Self {
            host,
            hall,
            rpc,
            http,
            control: Vec::new(),
            lease: LeaseTiming::default(),
            keep: stop::ADDRESS_RETENTION,
        }
    }

    /// Sets the addresses of the control replicas.
    #[must_use]
    pub fn control(mut self, control: Vec<SocketAddr>) -> Self {
        self.control = control;
        self
    }

    /// Sets the timing of leases. The control replicas must use the same.
    #[must_use]
    pub fn lease(mut self, lease: LeaseTiming) -> Self {
        self.lease = lease;
        self
    }

    /// Sets how long a stopping entry still serves callers that have its address.
    #[must_use]
    pub fn keep(mut self, keep: Duration) -> Self {
        self.keep = keep;
        self
    }
}

/// # Starting
impl Entry {
    /// Starts the entry on a thread of its own.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] if a listener or the thread cannot be created.
    pub fn start(self) -> Result<Process, Refusal> {
        let name = format!("entry {}", self.host);
        Process::start(&name, move |signal| run(self, signal))
    }
}

async fn run(entry: Entry, mut signal: Signal) -> Result<(), Refusal> {
    let rpc_listener = process::tokio_listener(entry.rpc)?;
    let http_listener = process::tokio_listener(entry.http)?;
    let timeline = Timeline::new(entry.host.as_str());
    let member = Member {
        host: entry.host,
        hall: entry.hall,
        rpc: local_address(&rpc_listener)?,
        http: local_address(&http_listener)?,
        incarnation: rand::rng().next_u64(),
        leaving: false,
        owns: true,
    };
    let client = rpc::Client::new(timeline.clone());
    let listening = format!("entry, rpc={} http={}", member.rpc, member.http);
    let node = Node::new(
        member,
        entry.control,
        Clock::start(),
        timeline.clone(),
        client,
    );
    let node = Arc::new(node);
    let handler = calls::handler(Arc::clone(&node));
    tokio::task::spawn_local(rpc::serve(rpc_listener, handler, timeline.clone()));
    let router = http::router(Arc::clone(&node));
    let (close_sender, close) = oneshot::channel::<()>();
    let server = axum::serve(http_listener, router).with_graceful_shutdown(async {
        let _ = close.await;
    });
    let server = tokio::spawn(async move {
        if let Err(error) = server.await {
            log::error!("the HTTP server for callers ended: {error}");
        }
    });
    tokio::spawn(renew::run(Arc::clone(&node), entry.lease));
    tokio::spawn(renew::fill_shards(Arc::clone(&node)));
    tokio::spawn(scan_queues(Arc::clone(&node)));
    timeline.note(Line::new(Kind::Started).detail(listening));
    let order = tokio::select! {
        order = signal.next() => order,
        () = stop::wait_for_order(&node) => Order::Stop,
    };
    if order == Order::Stop {
        let close_callers = async {
            drop(close_sender);
            let _ = server.await;
        };
        stop::run(&node, entry.keep, close_callers).await;
    }
    Ok(())
}

async fn scan_queues(node: Arc<Node>) {
    let mut interval = tokio::time::interval(QUEUE_SCAN_INTERVAL);
    loop {
        interval.tick().await;
        owner::tick(&node);
        let (waiting, running) = owner::count_requests(&node);
        #[allow(clippy::cast_precision_loss)]
        {
            metrics::gauge!("curlewlift_queue_waiting").set(waiting as f64);
            metrics::gauge!("curlewlift_queue_running").set(running as f64);
        }
    }
}

fn local_address(listener: &tokio::net::TcpListener) -> Result<SocketAddr, Refusal> {
    listener.local_addr().map_err(|error| {
        Refusal::new(
            Code::Internal,
            format!("the listener has no address: {error}"),
        )
    })
}

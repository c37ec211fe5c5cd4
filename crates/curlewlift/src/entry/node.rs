//! State that the tasks of an entry share.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::body::Body;
use curlewlift_core::claim::Table;
use curlewlift_core::clock::Instant;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::config::Snapshot;
use curlewlift_core::id;
use curlewlift_core::queue;
use curlewlift_core::view::Holder;
use curlewlift_core::view::Member;
use curlewlift_core::view::Roster;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::process::Clock;
use crate::rpc;
use crate::timeline::Timeline;

use super::admit::Limits;
use super::owner::OwnedQueue;
use super::request::Request;
use super::store::Store;

/// How long the claim record and the response of a finished request are retained.
const RETENTION: Duration = Duration::from_mins(10);

/// Maximum total size of the stored responses of ended requests, in bytes.
const MAX_STORED_BYTES: usize = 64 << 20;

/// Maximum number of claim records, one per request key.
const MAX_CLAIM_RECORDS: usize = 1_000_000;

/// How long an idle connection to a backend server stays open.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for connecting to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a request waits for a changing view to become active.
const VIEW_CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between two checks of a view that is changing.
const VIEW_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The server that the owner grants a slot at, or why it grants none.
pub(super) type SlotResult = Result<id::Server, Refusal>;

/// State that the tasks of an entry share. Each lock is held for one step and never across an
/// `await`.
pub(super) struct Node {
    pub(super) clock: Clock,
    pub(super) timeline: Timeline,
    pub(super) rpc: rpc::Client,
    pub(super) member: Member,
    pub(super) control_addresses: Vec<std::net::SocketAddr>,
    pub(super) view_holder: Mutex<Holder>,
    pub(super) claim_table: Mutex<Table>,
    /// The queues of the services that this entry owns.
    pub(super) queues: Mutex<BTreeMap<id::Service, OwnedQueue>>,
    /// Reply channels of the requests that wait in `queues`.
    pub(super) waiting: Mutex<HashMap<queue::Ticket, oneshot::Sender<SlotResult>>>,
    pub(super) store: Mutex<Store>,
    pub(super) limits: Mutex<Limits>,
    /// Granted requests of this entry, with their servers.
    pub(super) running: Mutex<HashMap<id::Ticket, (Arc<Request>, id::Server)>>,
    pub(super) pooled_client: Client<HttpConnector, Body>,
    pub(super) unpooled_client: Client<HttpConnector, Body>,
    pub(super) open_requests: AtomicUsize,
    pub(super) finished_requests: AtomicU64,
    /// Whether new requests are refused because the entry is stopping.
    pub(super) closing: AtomicBool,
    pub(super) view_changed: Notify,
    tickets: AtomicU64,
}

impl Node {
    pub(super) fn new(
        member: Member,
        control_addresses: Vec<std::net::SocketAddr>,
        clock: Clock,
        timeline: Timeline,
        rpc: rpc::Client,
    ) -> Self {
        Self {
            clock,
            timeline,
            rpc,
            control_addresses,
            view_holder: Mutex::new(Holder::new(member.clone())),
            claim_table: Mutex::new(Table::new(member.clone(), RETENTION, MAX_CLAIM_RECORDS)),
            member,
            queues: Mutex::default(),
            waiting: Mutex::default(),
            store: Mutex::new(Store::new(RETENTION, MAX_STORED_BYTES)),
            limits: Mutex::default(),
            running: Mutex::default(),
            pooled_client: http_client(true),
            unpooled_client: http_client(false),
            open_requests: AtomicUsize::new(0),
            finished_requests: AtomicU64::new(0),
            closing: AtomicBool::new(false),
            view_changed: Notify::new(),
            tickets: AtomicU64::new(0),
        }
    }

    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The active view, if this entry holds a lease.
    ///
    /// # Errors
    ///
    /// [`Code::NoLease`] without a lease: callers must use another address.
    pub(super) fn usable_roster(&self) -> Result<Arc<Roster>, Refusal> {
        let now = self.now();
        let holder = lock(&self.view_holder);
        let detail = "this entry has no lease; ask another address";
        holder
            .usable_roster(now)
            .cloned()
            .ok_or_else(|| Refusal::new(Code::NoLease, detail))
    }

    /// The active view. Waits for it while the view changes.
    ///
    /// # Errors
    ///
    /// [`Code::NoLease`] at once if the lease has expired, or if the change takes too long.
    pub(super) async fn wait_for_roster(&self) -> Result<Arc<Roster>, Refusal> {
        let wait_end = self.now() + VIEW_CHANGE_TIMEOUT;
        loop {
            let roster = self.usable_roster();
            let now = self.now();
            if roster.is_ok() || now >= wait_end || !lock(&self.view_holder).awaits_activation(now)
            {
                return roster;
            }
            tokio::time::sleep(VIEW_CHECK_INTERVAL).await;
        }
    }

    /// The configuration that is active at this entry.
    pub(super) fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(lock(&self.view_holder).get_snapshot())
    }

    /// Generates the ticket of the next request.
    pub(super) fn next_ticket(&self) -> id::Ticket {
        id::Ticket(self.tickets.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

/// Locks `mutex`, also if a thread has panicked while it held the lock.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An HTTP client that never sends a request twice: the library's retry on a reused connection is
/// off.
fn http_client(pooled: bool) -> Client<HttpConnector, Body> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    let mut builder = Client::builder(hyper_util::rt::TokioExecutor::new());
    builder.retry_canceled_requests(false);
    builder.pool_idle_timeout(POOL_IDLE_TIMEOUT);
    builder.pool_timer(hyper_util::rt::TokioTimer::new());
    builder.pool_max_idle_per_host(if pooled { usize::MAX } else { 0 });
    builder.build(connector)
}

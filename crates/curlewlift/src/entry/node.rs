//! What the parts of an entry share.

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
use super::kept::Store;
use super::owner::Owned;
use super::request::Request;

/// How long a finished request's record and answer are kept.
const KEEP: Duration = Duration::from_mins(10);

/// Bytes of ended answers that are kept.
const STORE: usize = 64 << 20;

/// Records of request keys that are kept.
const RECORDS: usize = 1_000_000;

/// How long an idle connection to a backend server is kept.
const IDLE: Duration = Duration::from_secs(2);

/// How long a connection to a backend server may take to be made.
const CONNECT: Duration = Duration::from_secs(1);

/// How long a change of the view is waited for.
const CHANGE: Duration = Duration::from_secs(5);

/// Between two looks at a view that is changing.
const LOOK: Duration = Duration::from_millis(5);

/// What the owner told a waiting request.
pub(super) type Word = Result<id::Server, Refusal>;

/// What the parts of an entry share. Each lock is held for one step and never over a wait.
pub(super) struct Node {
    pub(super) clock: Clock,
    pub(super) timeline: Timeline,
    pub(super) rpc: rpc::Client,
    pub(super) member: Member,
    pub(super) control: Vec<std::net::SocketAddr>,
    pub(super) holder: Mutex<Holder>,
    pub(super) table: Mutex<Table>,
    pub(super) owned: Mutex<BTreeMap<id::Service, Owned>>,
    pub(super) waits: Mutex<HashMap<queue::Ticket, oneshot::Sender<Word>>>,
    pub(super) store: Mutex<Store>,
    pub(super) limits: Mutex<Limits>,
    pub(super) running: Mutex<HashMap<id::Ticket, (Arc<Request>, id::Server)>>,
    pub(super) pooled: Client<HttpConnector, Body>,
    pub(super) fresh: Client<HttpConnector, Body>,
    pub(super) open: AtomicUsize,
    pub(super) finished: AtomicU64,
    pub(super) closing: AtomicBool,
    pub(super) view_changed: Notify,
    tickets: AtomicU64,
}

impl Node {
    pub(super) fn new(
        member: Member,
        control: Vec<std::net::SocketAddr>,
        clock: Clock,
        timeline: Timeline,
        rpc: rpc::Client,
    ) -> Self {
        Self {
            clock,
            timeline,
            rpc,
            control,
            holder: Mutex::new(Holder::new(member.clone())),
            table: Mutex::new(Table::new(member.clone(), KEEP, RECORDS)),
            member,
            owned: Mutex::default(),
            waits: Mutex::default(),
            store: Mutex::new(Store::new(KEEP, STORE)),
            limits: Mutex::default(),
            running: Mutex::default(),
            pooled: http_client(true),
            fresh: http_client(false),
            open: AtomicUsize::new(0),
            finished: AtomicU64::new(0),
            closing: AtomicBool::new(false),
            view_changed: Notify::new(),
            tickets: AtomicU64::new(0),
        }
    }

    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The view to act under.
    ///
    /// # Errors
    ///
    /// [`Code::NoLease`] where there is none: callers must go elsewhere.
    pub(super) fn acting(&self) -> Result<Arc<Roster>, Refusal> {
        let now = self.now();
        let holder = lock(&self.holder);
        let why = "this entry has no lease; ask another address";
        holder
            .usable_roster(now)
            .cloned()
            .ok_or_else(|| Refusal::new(Code::NoLease, why))
    }

    /// The view to act under, waiting for it while it changes.
    ///
    /// # Errors
    ///
    /// [`Code::NoLease`] at once where the lease has run out, or where the change takes too long.
    pub(super) async fn act(&self) -> Result<Arc<Roster>, Refusal> {
        let until = self.now() + CHANGE;
        loop {
            let acting = self.acting();
            let now = self.now();
            if acting.is_ok() || now >= until || !lock(&self.holder).awaits_activation(now) {
                return acting;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// The configuration in force here.
    pub(super) fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(lock(&self.holder).get_snapshot())
    }

    /// A number for the next request.
    pub(super) fn ticket(&self) -> id::Ticket {
        id::Ticket(self.tickets.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

/// The lock's content, also where a thread has panicked with it.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A client that never sends anything twice: the library's own retry on a reused connection is off.
fn http_client(pooled: bool) -> Client<HttpConnector, Body> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT));
    let mut builder = Client::builder(hyper_util::rt::TokioExecutor::new());
    builder.retry_canceled_requests(false);
    builder.pool_idle_timeout(IDLE);
    builder.pool_timer(hyper_util::rt::TokioTimer::new());
    builder.pool_max_idle_per_host(if pooled { usize::MAX } else { 0 });
    builder.build(connector)
}

//! What the tasks of a gateway share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock;
use curlewlift_core::event::Kind;
use curlewlift_core::gateway;
use curlewlift_core::gateway::AttemptEnd;
use curlewlift_core::gateway::GrantId;
use curlewlift_core::gateway::Membership;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerListCache;
use curlewlift_core::id;
use curlewlift_core::limit;
use curlewlift_core::pool::FirstByteTime;
use curlewlift_core::pool::RetryAllowance;
use curlewlift_core::quarantine;
use curlewlift_core::quota::Charge;
use curlewlift_core::quota::LocalLimiter;
use curlewlift_core::quota::Share;
use curlewlift_core::quota::Tolerance;
use curlewlift_core::rollout::Policy;
use curlewlift_core::route::Regions;
use curlewlift_core::route::Table;
use rand::Rng;
use tokio::sync::Notify;

use crate::control::Known;
use crate::process::Clock;
use crate::rpc;

use super::dialect::Dialect;
use super::log::Line;
use super::service::Service;
use super::standbys::Standbys;

/// How old the hub's last word may be for it to be asked, at the least.
const MIN_HUB_TIMEOUT: Duration = Duration::from_millis(500);

/// How many gateways a caller's own data hall, or region, must have for it to be sent to those only: one that
/// fails leaves another.
const MIN_NEARBY_GATEWAYS: usize = 2;

/// What a gateway knows of the hub.
#[derive(Debug, Default)]
pub(super) struct Hub {
    /// The host that leads, by the last word.
    pub(super) leader: Option<id::Host>,
    /// Where it was reached when it last answered.
    pub(super) address: Option<SocketAddr>,
    /// When it last answered.
    pub(super) last_reply_at: Option<clock::Instant>,
    /// When it last gave no word on a place in time.
    pub(super) doubted_at: Option<clock::Instant>,
    /// The last grant of a place that has come.
    pub(super) last_grant: GrantId,
    /// How long this gateway's next question may wait there.
    pub(super) poll_timeout: Duration,
    /// The number of its last answer.
    pub(super) last_reply: u64,
    /// The number of the newest table that it told of.
    pub(super) newest_table: u64,
    /// The version of the whole list that it held at its last word.
    pub(super) server_list_version: u64,
    /// Whether this gateway fetches the list for all.
    pub(super) fetches_list: bool,
}

/// What the tasks of a gateway share; one task at a time has it, and none holds a part over a wait.
pub(crate) struct Node {
    /// The host that it runs on.
    pub(super) host: id::Host,
    /// What callers and other gateways know it as.
    pub(super) gateway: gateway::Gateway,
    /// How heads are read and written.
    pub(super) dialect: Dialect,
    /// How many sendings past the first are allowed.
    pub(super) retry_allowance: RetryAllowance,
    pub(super) clock: Clock,
    /// Which region each data hall is in.
    pub(super) regions: Regions,
    /// Whether the whole deployment starts for the first time.
    pub(super) first_start: bool,
    /// The way to the control replicas.
    pub(super) rpc: rpc::Client,
    /// The routing table in force here; none before the first one has come.
    pub(super) table: RefCell<Option<Rc<Table>>>,
    /// What the table names as services.
    pub(super) services: RefCell<BTreeMap<id::Service, Service>>,
    /// What it holds of the list of backend servers.
    pub(super) server_lists: RefCell<ServerListCache>,
    /// The versions of servers that it may send to by its own choice, by the last word of the hub.
    pub(super) policy: RefCell<Policy>,
    /// The gateways that live, by the last word of the hub.
    pub(super) membership: RefCell<Membership>,
    /// How long answers take to begin, by rule.
    pub(super) first_byte_times: RefCell<BTreeMap<Arc<str>, FirstByteTime>>,
    /// What customers may still ask for where the hub gives no word.
    pub(super) local_limiter: RefCell<LocalLimiter>,
    /// Who else may let their requests in then.
    pub(super) standbys: RefCell<Standbys>,
    /// What it knows of requests under which servers end.
    pub(super) quarantine: RefCell<quarantine::LocalTracker>,
    /// What it knows of limits that servers name.
    pub(super) limits: RefCell<limit::LocalReports>,
    /// The part of the sendings past the first that this gateway may do by itself.
    pub(super) retry_share: RefCell<Share>,
    /// The hosts that are known to keep a control replica.
    pub(super) known_replicas: Known,
    /// What is known of the hub.
    pub(super) hub: RefCell<Hub>,
    /// Since when it is told to stop.
    pub(super) stopping: Cell<Option<clock::Instant>>,
    /// Whether callers that still come are turned away.
    pub(super) rejects_callers: Cell<bool>,
    /// Sendings that have ended and that the hub was not told of.
    pub(super) attempt_ends: RefCell<Vec<AttemptEnd>>,
    /// Wakes the report to the hub where an answer begins or a sending has ended.
    pub(super) report_wakeup: Notify,
    /// Requests that are open.
    pub(super) open_requests: Cell<usize>,
    /// Requests that were open and have ended.
    pub(super) finished_requests: Cell<u64>,
    /// Wakes the question to the hub where there is something to tell it at once.
    pub(super) poll_wakeup: Notify,
    /// Wakes the fetching of a newer table.
    pub(super) fetch_wakeup: Notify,
}

impl Node {
    pub(super) fn new(
        server_lists: ServerListCache,
        gateway: gateway::Gateway,
        dialect: Dialect,
        retry_allowance: RetryAllowance,
        tolerance: Tolerance,
        known_replicas: Known,
        rpc: rpc::Client,
    ) -> Self {
        Self {
            host: server_lists.get_host().clone(),
            server_lists: RefCell::new(server_lists),
            gateway,
            dialect,
            retry_allowance,
            clock: Clock::start(),
            regions: Regions::default(),
            first_start: false,
            rpc,
            table: RefCell::default(),
            services: RefCell::default(),
            policy: RefCell::default(),
            membership: RefCell::default(),
            first_byte_times: RefCell::default(),
            local_limiter: RefCell::new(LocalLimiter::new(tolerance)),
            standbys: RefCell::default(),
            quarantine: RefCell::default(),
            limits: RefCell::new(limit::LocalReports::new(rand::rng().next_u64())),
            retry_share: RefCell::default(),
            known_replicas,
            hub: RefCell::default(),
            stopping: Cell::new(None),
            rejects_callers: Cell::new(false),
            attempt_ends: RefCell::default(),
            report_wakeup: Notify::new(),
            open_requests: Cell::new(0),
            finished_requests: Cell::new(0),
            poll_wakeup: Notify::new(),
            fetch_wakeup: Notify::new(),
        }
    }

    /// Goes by `clock`, and not by one of its own.
    pub(super) fn clock(mut self, clock: Clock) -> Self {
        self.clock = clock;
        self
    }

    /// Knows which region each data hall is in.
    pub(super) fn regions(mut self, regions: Regions) -> Self {
        self.regions = regions;
        self
    }

    /// Whether the whole deployment starts for the first time.
    pub(super) fn first_start(mut self, first_start: bool) -> Self {
        self.first_start = first_start;
        self
    }

    pub(super) fn now(&self) -> clock::Instant {
        self.clock.now()
    }

    /// The table in force here.
    pub(super) fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// Whether callers may be sent here: it can serve, and is not stopping.
    pub(crate) fn is_ready(&self) -> bool {
        self.stopping.get().is_none()
            && self.table.borrow().is_some()
            && self.server_lists.borrow().get_subset().version != 0
    }

    /// The gateways that live, nearest ones for a caller in `hall` of `region`, by the last word of the hub.
    ///
    /// A request that must stay in some regions may come by its caller's own, not by a third one.
    pub(crate) fn gateways(&self, hall: &str, region: &str) -> Vec<SocketAddr> {
        let membership = self.membership.borrow();
        let nearby = |matches: &dyn Fn(&str) -> bool| -> Vec<_> {
            let nearby = membership
                .gateways
                .iter()
                .filter(|other| matches(&other.hall));
            nearby.map(|other| other.callers).collect()
        };
        let in_hall = nearby(&|other| other == hall);
        if in_hall.len() >= MIN_NEARBY_GATEWAYS {
            return in_hall;
        }
        let region = self.regions.get(hall).map_or(region, |region| &**region);
        let in_region = nearby(&|other| {
            self.regions
                .get(other)
                .is_some_and(|other_region| **other_region == *region)
        });
        if in_region.len() >= MIN_NEARBY_GATEWAYS {
            return in_region;
        }
        let all: Vec<_> = membership
            .gateways
            .iter()
            .map(|other| other.callers)
            .collect();
        if all.is_empty() && self.is_ready() {
            return vec![self.gateway.callers];
        }
        all
    }

    /// Whether there is a data hall of that name.
    pub(crate) fn has_hall(&self, hall: &str) -> bool {
        self.regions.get(hall).is_some()
    }

    /// How old the hub's last word may be for it to be asked: twice the longest time between two.
    pub(super) fn hub_timeout(&self) -> Duration {
        MIN_HUB_TIMEOUT.max(self.hub.borrow().poll_timeout * 2)
    }

    /// How long this gateway's hub has been silent; none where it was never heard.
    pub(super) fn since_hub_reply(&self) -> Option<Duration> {
        let last_reply_at = self.hub.borrow().last_reply_at;
        last_reply_at.map(|last_reply_at| self.now().since(last_reply_at))
    }
}

/// # What customers may still ask for
impl Node {
    /// Whether a request is let in by the word of this gateway alone; if so it is counted.
    pub(super) fn acquire_quota(&self, charge: &Charge) -> bool {
        let table = self.table();
        let mut policies = table.iter().flat_map(|table| table.customers());
        let Some(policy) = policies.find(|policy| policy.name == charge.customer) else {
            return false;
        };
        let mut local_limiter = self.local_limiter.borrow_mut();
        local_limiter.acquire(charge, &policy.quota, self.now())
    }

    /// The number of the table in force here; 0 before the first one has come.
    pub(super) fn table_version(&self) -> u64 {
        self.table().map_or(0, |table| table.get_version())
    }

    /// The number of the newest table that it knows of.
    pub(super) fn newest_table(&self) -> u64 {
        self.table_version().max(self.hub.borrow().newest_table)
    }
}

/// # How long answers take
impl Node {
    /// How long answers to requests of a rule take to begin, once they are sent.
    pub(super) fn first_byte_estimate(&self, rule: &str) -> Duration {
        let first_byte_times = self.first_byte_times.borrow();
        first_byte_times
            .get(rule)
            .map_or(Duration::ZERO, FirstByteTime::estimate)
    }

    /// Takes note that an answer to a request of `rule` began `first` after it was sent.
    pub(super) fn record_first_byte_time(&self, rule: &Arc<str>, first: Duration) {
        let mut first_byte_times = self.first_byte_times.borrow_mut();
        first_byte_times
            .entry(Arc::clone(rule))
            .or_default()
            .add(first);
    }

    /// Forgets the rules that a table does not have.
    fn retain_first_byte_times(&self, table: &Table) {
        let rules = table.rules();
        let names: BTreeSet<_> = rules.map(|rule| &rule.name).collect();
        let mut first_byte_times = self.first_byte_times.borrow_mut();
        first_byte_times.retain(|name, _| names.contains(name));
    }
}

/// # What it takes up
impl Node {
    /// Puts a table in force that is newer than the one held.
    pub(super) fn apply_table(&self, table: Table) {
        let version = table.get_version();
        let former = self.table_version();
        if version <= former {
            return;
        }
        Line::new(Kind::TableHeld)
            .with("table", version)
            .with("former", former)
            .write();
        self.retain_first_byte_times(&table);
        *self.table.borrow_mut() = Some(Rc::new(table));
        self.update_pools();
    }

    /// Takes up what is new of the gateways that live.
    pub(super) fn apply_membership(&self, update: gateway::MembershipUpdate) {
        let mut membership = self.membership.borrow_mut();
        match membership.apply(update) {
            Some(after) => *membership = after,
            // The news are about another roll: the whole one comes with the next answer.
            None => membership.version = 0,
        }
    }

    /// Takes up which versions of servers it may send to by its own choice.
    pub(super) fn apply_policy(&self, policy: Policy) {
        *self.policy.borrow_mut() = policy;
        self.update_pools();
    }

    /// Takes up a list of backend servers, as `take` does it.
    pub(super) fn update_server_list(&self, take: impl FnOnce(&mut ServerListCache)) {
        let mut server_lists = self.server_lists.borrow_mut();
        let former = server_lists.get_subset().version;
        take(&mut server_lists);
        let subset = server_lists.get_subset();
        if subset.version == former {
            return;
        }
        let leaving = subset.servers.iter().filter(|server| server.leaving);
        Line::new(Kind::ListHeld)
            .with("version", subset.version)
            .with("servers", subset.servers.len())
            .with("leaving", leaving.count())
            .with("software", versions(&subset.servers))
            .write();
        drop(server_lists);
        self.update_pools();
    }
}

/// Each version that runs somewhere, with the number of its servers.
fn versions(servers: &[Server]) -> Vec<String> {
    let mut counts = BTreeMap::new();
    for server in servers {
        *counts
            .entry((&server.service, &server.version))
            .or_insert(0_usize) += 1;
    }
    let counts = counts.into_iter();
    let texts = counts.map(|((service, version), count)| format!("{service} {version} {count}"));
    texts.collect()
}

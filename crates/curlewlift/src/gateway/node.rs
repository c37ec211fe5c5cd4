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

use crate::control::KnownHosts;
use crate::process::Clock;
use crate::rpc;

use super::deputies::Deputies;
use super::dialect::Dialect;
use super::log::Line;
use super::service::Service;

/// How old the hub's last word may be for it to be asked, at the least.
const HEARD: Duration = Duration::from_millis(500);

/// How many gateways a caller's own data hall, or region, must have for it to be sent to those only: one that
/// fails leaves another.
const NEAR: usize = 2;

/// What a gateway knows of the hub.
#[derive(Debug, Default)]
pub(super) struct Hub {
    /// The host that leads, by the last word.
    pub(super) leader: Option<id::Host>,
    /// Where it was reached when it last answered.
    pub(super) address: Option<SocketAddr>,
    /// When it last answered.
    pub(super) heard: Option<clock::Instant>,
    /// When it last gave no word on a place in time.
    pub(super) doubted: Option<clock::Instant>,
    /// The last grant of a place that has come.
    pub(super) mark: GrantId,
    /// How long this gateway's next question may wait there.
    pub(super) wait: Duration,
    /// The number of its last answer.
    pub(super) got: u64,
    /// The number of the newest table that it told of.
    pub(super) newest: u64,
    /// The version of the whole list that it held at its last word.
    pub(super) listing: u64,
    /// Whether this gateway fetches the list for all.
    pub(super) fetches: bool,
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
    pub(super) allowed: RetryAllowance,
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
    pub(super) holding: RefCell<ServerListCache>,
    /// The versions of servers that it may send to by its own choice, by the last word of the hub.
    pub(super) policy: RefCell<Policy>,
    /// The gateways that live, by the last word of the hub.
    pub(super) roll: RefCell<Membership>,
    /// How long answers take to begin, by rule.
    pub(super) leads: RefCell<BTreeMap<Arc<str>, FirstByteTime>>,
    /// What customers may still ask for where the hub gives no word.
    pub(super) reserve: RefCell<LocalLimiter>,
    /// Who else may let their requests in then.
    pub(super) deputies: RefCell<Deputies>,
    /// What it knows of requests under which servers end.
    pub(super) quarantine: RefCell<quarantine::LocalTracker>,
    /// What it knows of limits that servers name.
    pub(super) limits: RefCell<limit::LocalReports>,
    /// The part of the sendings past the first that this gateway may do by itself.
    pub(super) part: RefCell<Share>,
    /// The hosts that are known to keep a control replica.
    pub(super) known: KnownHosts,
    /// What is known of the hub.
    pub(super) hub: RefCell<Hub>,
    /// Since when it is told to stop.
    pub(super) stopping: Cell<Option<clock::Instant>>,
    /// Whether callers that still come are turned away.
    pub(super) closed: Cell<bool>,
    /// Sendings that have ended and that the hub was not told of.
    pub(super) ends: RefCell<Vec<AttemptEnd>>,
    /// Wakes the report to the hub where an answer begins or a sending has ended.
    pub(super) reports: Notify,
    /// Requests that are open.
    pub(super) open: Cell<usize>,
    /// Requests that were open and have ended.
    pub(super) finished: Cell<u64>,
    /// Wakes the question to the hub where there is something to tell it at once.
    pub(super) changed: Notify,
    /// Wakes the fetching of a newer table.
    pub(super) newer: Notify,
}

impl Node {
    pub(super) fn new(
        holding: ServerListCache,
        gateway: gateway::Gateway,
        dialect: Dialect,
        allowed: RetryAllowance,
        tolerance: Tolerance,
        known: KnownHosts,
        rpc: rpc::Client,
    ) -> Self {
        Self {
            host: holding.get_host().clone(),
            holding: RefCell::new(holding),
            gateway,
            dialect,
            allowed,
            clock: Clock::start(),
            regions: Regions::default(),
            first_start: false,
            rpc,
            table: RefCell::default(),
            services: RefCell::default(),
            policy: RefCell::default(),
            roll: RefCell::default(),
            leads: RefCell::default(),
            reserve: RefCell::new(LocalLimiter::new(tolerance)),
            deputies: RefCell::default(),
            quarantine: RefCell::default(),
            limits: RefCell::new(limit::LocalReports::new(rand::rng().next_u64())),
            part: RefCell::default(),
            known,
            hub: RefCell::default(),
            stopping: Cell::new(None),
            closed: Cell::new(false),
            ends: RefCell::default(),
            reports: Notify::new(),
            open: Cell::new(0),
            finished: Cell::new(0),
            changed: Notify::new(),
            newer: Notify::new(),
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
            && self.holding.borrow().get_subset().version != 0
    }

    /// The gateways that live, nearest ones for a caller in `hall` of `region`, by the last word of the hub.
    ///
    /// A request that must stay in some regions may come by its caller's own, not by a third one.
    pub(crate) fn gateways(&self, hall: &str, region: &str) -> Vec<SocketAddr> {
        let roll = self.roll.borrow();
        let near = |is_near: &dyn Fn(&str) -> bool| -> Vec<_> {
            let near = roll.gateways.iter().filter(|other| is_near(&other.hall));
            near.map(|other| other.callers).collect()
        };
        let in_hall = near(&|other| other == hall);
        if in_hall.len() >= NEAR {
            return in_hall;
        }
        let region = self.regions.get(hall).map_or(region, |region| &**region);
        let in_region = near(&|other| self.regions.get(other).is_some_and(|of| **of == *region));
        if in_region.len() >= NEAR {
            return in_region;
        }
        let all: Vec<_> = roll.gateways.iter().map(|other| other.callers).collect();
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
    pub(super) fn hub_fresh(&self) -> Duration {
        HEARD.max(self.hub.borrow().wait * 2)
    }

    /// How long this gateway's hub has been silent; none where it was never heard.
    pub(super) fn hub_silence(&self) -> Option<Duration> {
        let heard = self.hub.borrow().heard;
        heard.map(|heard| self.now().since(heard))
    }
}

/// # What customers may still ask for
impl Node {
    /// Whether a request is let in by the word of this gateway alone; if so it is counted.
    pub(super) fn draw(&self, charge: &Charge) -> bool {
        let table = self.table();
        let mut accounts = table.iter().flat_map(|table| table.customers());
        let Some(account) = accounts.find(|account| account.name == charge.customer) else {
            return false;
        };
        let mut reserve = self.reserve.borrow_mut();
        reserve.acquire(charge, &account.quota, self.now())
    }

    /// The number of the table in force here; 0 before the first one has come.
    pub(super) fn held_table(&self) -> u64 {
        self.table().map_or(0, |table| table.get_version())
    }

    /// The number of the newest table that it knows of.
    pub(super) fn newest_table(&self) -> u64 {
        self.held_table().max(self.hub.borrow().newest)
    }
}

/// # How long answers take
impl Node {
    /// How long answers to requests of a rule take to begin, once they are sent.
    pub(super) fn lead(&self, rule: &str) -> Duration {
        let leads = self.leads.borrow();
        leads
            .get(rule)
            .map_or(Duration::ZERO, FirstByteTime::estimate)
    }

    /// Takes note that an answer to a request of `rule` began `first` after it was sent.
    pub(super) fn answered(&self, rule: &Arc<str>, first: Duration) {
        let mut leads = self.leads.borrow_mut();
        leads.entry(Arc::clone(rule)).or_default().add(first);
    }

    /// Forgets the rules that a table does not have.
    fn keep_leads(&self, table: &Table) {
        let rules = table.rules();
        let names: BTreeSet<_> = rules.map(|rule| &rule.name).collect();
        let mut leads = self.leads.borrow_mut();
        leads.retain(|name, _| names.contains(name));
    }
}

/// # What it takes up
impl Node {
    /// Puts a table in force that is newer than the one held.
    pub(super) fn adopt_table(&self, table: Table) {
        let number = table.get_version();
        let held = self.held_table();
        if number <= held {
            return;
        }
        Line::new(Kind::TableHeld)
            .with("table", number)
            .with("former", held)
            .write();
        self.keep_leads(&table);
        *self.table.borrow_mut() = Some(Rc::new(table));
        self.spread();
    }

    /// Takes up what is new of the gateways that live.
    pub(super) fn adopt_roll(&self, news: gateway::MembershipUpdate) {
        let mut roll = self.roll.borrow_mut();
        match roll.apply(news) {
            Some(after) => *roll = after,
            // The news are about another roll: the whole one comes with the next answer.
            None => roll.version = 0,
        }
    }

    /// Takes up which versions of servers it may send to by its own choice.
    pub(super) fn adopt_policy(&self, policy: Policy) {
        *self.policy.borrow_mut() = policy;
        self.spread();
    }

    /// Takes up a list of backend servers, as `take` does it.
    pub(super) fn adopt_list(&self, take: impl FnOnce(&mut ServerListCache)) {
        let mut holding = self.holding.borrow_mut();
        let former = holding.get_subset().version;
        take(&mut holding);
        let subset = holding.get_subset();
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
        drop(holding);
        self.spread();
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
    let told = counts.map(|((service, version), count)| format!("{service} {version} {count}"));
    told.collect()
}

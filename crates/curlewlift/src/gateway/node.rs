//! The state that the tasks of a gateway share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock;
use curlewlift_core::event::Kind;
use curlewlift_core::gateway;
use curlewlift_core::gateway::AttemptEnd;
use curlewlift_core::gateway::GrantId;
use curlewlift_core::gateway::LocalSlots;
use curlewlift_core::gateway::Membership;
use curlewlift_core::gateway::MemoryBudget;
use curlewlift_core::gateway::Paths;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerListCache;
use curlewlift_core::gateway::TunnelHosts;
use curlewlift_core::id;
use curlewlift_core::limit;
use curlewlift_core::pool::FirstByteTime;
use curlewlift_core::pool::ResponseTime;
use curlewlift_core::pool::RetryAllowance;
use curlewlift_core::pool::RetryBudget;
use curlewlift_core::pool::Scheduling;
use curlewlift_core::publication::Distribution;
use curlewlift_core::publication::Redirects;
use curlewlift_core::publication::Standing;
use curlewlift_core::publication::Transfer;
use curlewlift_core::quarantine;
use curlewlift_core::quota::Charge;
use curlewlift_core::quota::LocalLimiter;
use curlewlift_core::quota::Tolerance;
use curlewlift_core::rejection;
use curlewlift_core::rollout::Policy;
use curlewlift_core::route::Regions;
use curlewlift_core::route::Table;
use curlewlift_core::state::Publication;
use curlewlift_core::stop::Plan;
use curlewlift_core::stream;
use rand::Rng;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::control::Distributor;
use crate::control::KnownHosts;
use crate::control::StoppingGateways;
use crate::links::Links;
use crate::process::Clock;
use crate::rpc;

use super::deadline::Arrival;
use super::dialect::Dialect;
use super::held_table::HeldTable;
use super::loans::Loans;
use super::log::Line;
use super::service::Service;
use super::standbys::Standbys;

/// For how long requests may be forwarded by a table after a newer one was announced, if the settings do not say.
const DEFAULT_MAX_OUTDATED: Duration = Duration::from_secs(1);

/// Lower bound of [`Node::hub_timeout`]: a hub that replied this recently is always asked.
const MIN_HUB_TIMEOUT: Duration = Duration::from_millis(500);

/// How many gateways a caller's own data hall, or region, must have for the caller to be sent to those only: if one
/// fails, another is left.
const MIN_NEARBY_GATEWAYS: usize = 2;

/// What a gateway knows of the hub.
#[derive(Debug, Default)]
pub(super) struct Hub {
    /// The leading host, by the last reply.
    pub(super) leader: Option<id::Host>,
    /// Address from which the hub last replied.
    pub(super) address: Option<SocketAddr>,
    /// When the hub last replied to a poll.
    pub(super) last_reply_at: Option<clock::Instant>,
    /// When a slot request to the hub last failed or timed out.
    pub(super) doubted_at: Option<clock::Instant>,
    /// The gateways that may still send callers here although this one is not ready, by the hub's last reply; none if that
    /// was to a poll which said that it is ready.
    pub(super) unaware: Option<Vec<SocketAddr>>,
    /// Id of the last slot grant received.
    pub(super) last_grant: GrantId,
    /// How long the hub may hold this gateway's next poll.
    pub(super) poll_timeout: Duration,
    /// Number of the hub's last reply.
    pub(super) last_reply: u64,
    /// The part of all shares of retries that was given up with that reply without having been used.
    pub(super) given_up_unused: f64,
    /// Version of the hub's whole server list at its last reply.
    pub(super) server_list_version: u64,
    /// Whether this gateway fetches the platform's server list for all gateways.
    pub(super) fetches_list: bool,
    /// When the platform last answered a fetch for all gateways, or when this gateway began to fetch for them.
    pub(super) platform_answered_at: clock::Instant,
    /// How many requests a second each server of a service may reject before it fails, for services with such servers.
    pub(super) rejection_limits: Vec<(id::Service, rejection::Limit)>,
}

/// How long the responses to requests of one rule take.
#[derive(Clone, Copy, Debug, Default)]
struct RuleTimes {
    first_byte: FirstByteTime,
    response: ResponseTime,
}

/// When the process was last seen to run. Tasks run in turn, so what is read now arrived after the former of two such
/// times.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    /// The time before the last.
    pub(super) former: clock::Instant,
    /// The last time.
    last: clock::Instant,
}

impl Progress {
    /// The progress once the process is seen to run at `now`.
    pub(super) fn next(self, now: clock::Instant) -> Self {
        Self {
            former: self.last,
            last: now,
        }
    }
}

/// The state that the tasks of a gateway share. All tasks run on one thread, and none holds a borrow across an `await`.
pub(crate) struct Node {
    /// The host that it runs on.
    pub(super) host: id::Host,
    /// The gateway as callers and other gateways know it.
    pub(super) gateway: gateway::Gateway,
    /// How request and response heads are read and written.
    pub(super) dialect: Dialect,
    pub(super) clock: Clock,
    /// Its links to backend servers.
    pub(super) links: Links,
    /// Which region each data hall is in.
    pub(super) regions: Regions,
    /// The bytes that requests and responses hold here.
    pub(super) memory_budget: RefCell<MemoryBudget>,
    /// The rate of this host's link in bytes per second; 0 if it is unknown.
    link_bytes_per_s: f64,
    /// The operators that were redirected to the leader.
    redirects: RefCell<Redirects>,
    /// The parts of scheduling under hard load that are switched on.
    pub(super) scheduling: Scheduling,
    /// Whether the whole deployment starts for the first time.
    pub(super) first_start: bool,
    /// Client for calls to the control replicas.
    pub(super) rpc: rpc::Client,
    /// The routing table in effect here.
    held_table: HeldTable,
    /// Gives tables to other gateways.
    pub(super) distributor: Rc<Distributor>,
    /// State of the services that the table names.
    pub(super) services: RefCell<BTreeMap<id::Service, Service>>,
    /// The whole list of backend servers, if stored, and the subset that this gateway uses.
    pub(super) server_lists: RefCell<ServerListCache>,
    /// The server versions that this gateway may use without the hub, by the hub's last reply.
    pub(super) policy: RefCell<Policy>,
    /// The live gateways, by the hub's last reply.
    pub(super) membership: RefCell<Membership>,
    /// Which backend servers this host can connect to by itself.
    pub(super) paths: RefCell<Paths>,
    /// The gateways that could not open a tunnel lately.
    pub(super) tunnel_hosts: RefCell<TunnelHosts>,
    /// How long responses take, by rule.
    rule_times: RefCell<BTreeMap<Arc<str>, RuleTimes>>,
    /// Customers' quotas while the hub can't be reached.
    pub(super) local_limiter: RefCell<LocalLimiter>,
    /// This gateway's share of the slots while the hub can't be reached.
    pub(super) local_slots: RefCell<LocalSlots>,
    /// The gateways that lend slots of their shares then.
    pub(super) slot_lenders: RefCell<Standbys>,
    /// The slots that this gateway has lent.
    pub(super) loans: RefCell<Loans>,
    /// Wakes requests that wait for this gateway's share when the hub replies again.
    pub(super) hub_wakeup: Notify,
    /// The other gateways that may admit requests then.
    pub(super) standbys: RefCell<Standbys>,
    /// What is known of requests under which servers crash.
    pub(super) quarantine: RefCell<quarantine::LocalTracker>,
    /// What is known of rate limits that servers announce.
    pub(super) limits: RefCell<limit::LocalReports>,
    /// What is known of servers that fail when they reject too many requests.
    pub(super) rejections: RefCell<rejection::Tracker>,
    /// The retry budget of a service for which this gateway has counted nothing yet.
    pub(super) retry_budget: RefCell<RetryBudget>,
    /// The hosts known to run a control replica.
    pub(super) known_replicas: KnownHosts,
    /// What this gateway knows of the hub.
    pub(super) hub: RefCell<Hub>,
    /// When this process was last seen to run.
    pub(super) progress: Cell<Progress>,
    /// The schedule of the planned stop; none before it is ordered.
    pub(super) stop: watch::Sender<Option<Plan>>,
    /// The gateways that are known to stop.
    pub(super) stopping_gateways: StoppingGateways,
    /// The streams that callers may resume.
    pub(super) streams: RefCell<stream::Ledger>,
    /// The versions at which streams may begin.
    pub(super) stream_versions: RefCell<stream::KnownVersions>,
    /// Ended attempts that have not been reported to the hub.
    pub(super) attempt_ends: RefCell<Vec<AttemptEnd>>,
    /// The grants that came too late to be used, and were not reported yet.
    pub(super) unused_grants: RefCell<Vec<GrantId>>,
    /// Wakes the report task when a response begins or an attempt has ended.
    pub(super) report_wakeup: Notify,
    /// Number of open requests.
    pub(super) open_requests: Cell<usize>,
    /// Number of requests that have ended.
    pub(super) finished_requests: Cell<u64>,
    /// Wakes the polling task when the hub is to be notified at once.
    pub(super) poll_wakeup: Notify,
    /// Wakes the task that fetches a newer table.
    pub(super) fetch_wakeup: Notify,
}

impl Node {
    pub(super) fn new(
        server_lists: ServerListCache,
        gateway: gateway::Gateway,
        dialect: Dialect,
        retry_allowance: RetryAllowance,
        tolerance: Tolerance,
        known_replicas: KnownHosts,
        rpc: rpc::Client,
    ) -> Self {
        let incarnation = rand::rng().next_u64();
        let gateway = gateway::Gateway {
            incarnation,
            ..gateway
        };
        Self {
            host: server_lists.get_host().clone(),
            server_lists: RefCell::new(server_lists),
            gateway,
            dialect,
            clock: Clock::start(),
            links: Links::default(),
            regions: Regions::default(),
            memory_budget: RefCell::default(),
            link_bytes_per_s: 0.0,
            redirects: RefCell::default(),
            scheduling: Scheduling::default(),
            first_start: false,
            rpc,
            held_table: HeldTable::new(DEFAULT_MAX_OUTDATED),
            distributor: Distributor::new(Clock::start(), Distribution::between_gateways()),
            services: RefCell::default(),
            policy: RefCell::default(),
            membership: RefCell::default(),
            paths: RefCell::default(),
            tunnel_hosts: RefCell::default(),
            rule_times: RefCell::default(),
            local_limiter: RefCell::new(LocalLimiter::new(tolerance)),
            local_slots: RefCell::default(),
            slot_lenders: RefCell::default(),
            loans: RefCell::default(),
            hub_wakeup: Notify::new(),
            standbys: RefCell::default(),
            quarantine: RefCell::default(),
            limits: RefCell::new(limit::LocalReports::new(incarnation)),
            rejections: RefCell::default(),
            retry_budget: RefCell::new(RetryBudget::new(retry_allowance)),
            known_replicas,
            hub: RefCell::default(),
            progress: Cell::default(),
            stop: watch::Sender::default(),
            stopping_gateways: StoppingGateways::default(),
            streams: RefCell::default(),
            stream_versions: RefCell::default(),
            attempt_ends: RefCell::default(),
            unused_grants: RefCell::default(),
            report_wakeup: Notify::new(),
            open_requests: Cell::new(0),
            finished_requests: Cell::new(0),
            poll_wakeup: Notify::new(),
            fetch_wakeup: Notify::new(),
        }
    }

    /// Uses `clock` in place of a new one.
    pub(super) fn clock(mut self, clock: Clock) -> Self {
        self.distributor = Distributor::new(clock.clone(), Distribution::between_gateways());
        self.clock = clock;
        self
    }

    /// Sets for how long requests may be forwarded by a table after a newer one was announced.
    pub(super) fn max_outdated(mut self, max_outdated: Duration) -> Self {
        self.held_table = HeldTable::new(max_outdated);
        self
    }

    /// Shares what is known of gateways that stop with the replica in the same process.
    pub(super) fn stopping_gateways(mut self, stopping_gateways: StoppingGateways) -> Self {
        self.stopping_gateways = stopping_gateways;
        self
    }

    /// Uses `links` to connect to backend servers.
    pub(super) fn links(mut self, links: Links) -> Self {
        self.links = links;
        self
    }

    /// Sets which region each data hall is in.
    pub(super) fn regions(mut self, regions: Regions) -> Self {
        self.regions = regions;
        self
    }

    /// Sets how many bytes requests and responses may hold.
    pub(super) fn memory_budget(mut self, memory_budget: MemoryBudget) -> Self {
        self.memory_budget = RefCell::new(memory_budget);
        self
    }

    /// Sets the rate of this host's link in bytes per second; 0 if it is unknown.
    pub(super) fn link_bytes_per_s(mut self, link_bytes_per_s: f64) -> Self {
        self.link_bytes_per_s = link_bytes_per_s;
        self
    }

    /// Sets the parts of scheduling under hard load that are switched on.
    pub(super) fn scheduling(mut self, scheduling: Scheduling) -> Self {
        self.scheduling = scheduling;
        self
    }

    /// Sets whether the whole deployment starts for the first time.
    pub(super) fn first_start(mut self, first_start: bool) -> Self {
        self.first_start = first_start;
        self
    }

    pub(super) fn now(&self) -> clock::Instant {
        self.clock.now()
    }

    /// When this process was last seen to run, a short time ago unless it was suspended or busy since.
    pub(super) fn last_ran(&self) -> clock::Instant {
        self.progress.get().former
    }

    /// The arrival of a request whose head has just been read.
    pub(crate) fn arrival(&self) -> Arrival {
        Arrival {
            at: self.now(),
            sent_after: self.last_ran(),
        }
    }

    /// Whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.missing().is_none()
    }

    /// Why callers may not be sent here, if so: the gateway is stopping, or has no table that it may use or no server list.
    pub(crate) fn missing(&self) -> Option<&'static str> {
        if self.is_stopping() {
            return Some("this host is stopping");
        }
        if self.table_standing() == Standing::Outdated {
            return Some(match self.since_hub_reply() {
                Some(_) => "waits for a current routing table",
                None => "waits for the leading control replica",
            });
        }
        let has_list = self.server_lists.borrow().get_subset().version != 0;
        (!has_list).then_some("waits for the list of backend servers")
    }

    /// This gateway, as the hub tells others of it.
    pub(super) fn advertised(&self) -> gateway::Gateway {
        let tunnels = self.gateway.tunnels;
        gateway::Gateway {
            tunnels: tunnels.filter(|_| !self.paths.borrow().is_isolated()),
            ..self.gateway.clone()
        }
    }

    /// The nearest live gateways for a caller in `hall` of `region`, by the hub's last reply, without those that stop.
    ///
    /// A request that must stay in some regions may enter through its caller's own region, but through no third one.
    pub(crate) fn gateways(&self, hall: &str, region: &str) -> Vec<SocketAddr> {
        let membership = self.membership.borrow();
        let members: Vec<_> = self.stopping_gateways.read(|stopping| {
            let members = membership.gateways.iter();
            members
                .filter(|other| !stopping.is_stopping(other))
                .collect()
        });
        let nearby = |matches: &dyn Fn(&str) -> bool| -> Vec<_> {
            let nearby = members.iter().filter(|other| matches(&other.hall));
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
        let all: Vec<_> = members.iter().map(|other| other.callers).collect();
        if all.is_empty() && self.is_ready() {
            return vec![self.gateway.callers];
        }
        all
    }

    /// Records that an address response names these gateways.
    pub(crate) fn record_named(&self, addresses: &[SocketAddr]) {
        self.stopping_gateways.record_named(addresses, self.now());
    }

    /// Whether a data hall of this name exists.
    pub(crate) fn has_hall(&self, hall: &str) -> bool {
        self.regions.get(hall).is_some()
    }

    /// How old the hub's last reply may be for the hub to be asked: twice the time that it may hold a poll, and no less
    /// than [`MIN_HUB_TIMEOUT`].
    pub(super) fn hub_timeout(&self) -> Duration {
        MIN_HUB_TIMEOUT.max(self.hub.borrow().poll_timeout * 2)
    }

    /// Time since the hub's last reply; none if it has never replied.
    pub(super) fn since_hub_reply(&self) -> Option<Duration> {
        let last_reply_at = self.hub.borrow().last_reply_at;
        last_reply_at.map(|last_reply_at| self.now().since(last_reply_at))
    }
}

/// # Quotas without the hub
impl Node {
    /// Charges a request to this gateway's share of the customer's quota; false if the share is used up.
    pub(super) fn acquire_quota(&self, charge: &Charge) -> bool {
        let table = self.table();
        let mut policies = table.iter().flat_map(|table| table.customers());
        let Some(policy) = policies.find(|policy| policy.name == charge.customer) else {
            return false;
        };
        let mut local_limiter = self.local_limiter.borrow_mut();
        local_limiter.acquire(charge, &policy.quota, self.now())
    }
}

/// # The routing table
impl Node {
    /// The table in effect here. What may be decided by it is for [`Node::table_standing`] to say.
    pub(super) fn table(&self) -> Option<Rc<Table>> {
        self.held_table.get()
    }

    /// What may be decided by the table in effect here.
    pub(super) fn table_standing(&self) -> Standing {
        self.held_table.standing(self.now())
    }

    /// Whether this gateway holds a lease on the newest table.
    pub(super) fn has_table_lease(&self) -> bool {
        self.held_table.has_lease(self.now())
    }

    /// Version of the table in effect here; 0 before the first one has arrived.
    pub(super) fn table_version(&self) -> u64 {
        self.held_table.version()
    }

    /// Version of the newest table that this gateway knows of.
    pub(super) fn newest_table(&self) -> u64 {
        self.held_table.newest()
    }

    /// The publication of the table in effect here.
    pub(super) fn publication(&self) -> Publication {
        self.held_table.publication()
    }

    /// Whether `caller` is to read `bytes` from the leader, whose link has the rate `leader_link`.
    pub(crate) fn redirects_read(&self, caller: IpAddr, bytes: usize, leader_link: f64) -> bool {
        let transfer = Transfer {
            bytes,
            own_link: self.link_bytes_per_s,
            leader_link,
        };
        let mut redirects = self.redirects.borrow_mut();
        redirects.redirect(caller, transfer, self.now())
    }

    /// Waits until the table in effect or what may be decided by it has changed, for at most `time`.
    pub(super) async fn wait_for_table(&self, time: Duration) {
        self.held_table.changed(time).await;
    }

    /// Notes that the process at `source` knows table `version` to be committed.
    pub(super) fn announce_table(&self, version: u64, source: SocketAddr) {
        if self.held_table.announce(version, source, self.now()) {
            self.fetch_wakeup.notify_one();
        }
    }

    /// Notes that the leader's reply to a poll that was sent at `sent_at` grants a lease on table `newest`.
    pub(super) fn confirm_table(&self, newest: u64, sent_at: clock::Instant, lease: Duration) {
        self.held_table.confirm(newest, sent_at, lease);
    }

    /// Applies a table, which took `decode_time` to decode, if it is newer than the current one.
    pub(super) fn apply_table(
        &self,
        table: Table,
        publication: &Publication,
        decode_time: Duration,
    ) {
        let now = self.now();
        if !self.held_table.apply(table, publication, decode_time, now) {
            return;
        }
        self.update_pools();
        self.retain_rule_times();
        // The acknowledgement of the table waits until the hub knows.
        self.report_wakeup.notify_one();
    }
}

/// # Response times
impl Node {
    /// Estimated time from sending a request of `rule` to the first byte of its response.
    pub(super) fn first_byte_estimate(&self, rule: &str) -> Duration {
        let rule_times = self.rule_times.borrow();
        let times = rule_times.get(rule);
        times.map_or(Duration::ZERO, |times| times.first_byte.estimate())
    }

    /// Records that the response to a request of `rule` began `first` after it was sent.
    pub(super) fn record_first_byte_time(&self, rule: &Arc<str>, first: Duration) {
        let mut rule_times = self.rule_times.borrow_mut();
        let times = rule_times.entry(Arc::clone(rule)).or_default();
        times.first_byte.add(first);
    }

    /// Estimated time from the arrival of a request of `rule` to the end of its response; none if that is not known.
    pub(super) fn response_time_estimate(&self, rule: &str) -> Option<Duration> {
        let rule_times = self.rule_times.borrow();
        rule_times.get(rule)?.response.estimate()
    }

    /// Records that the response to a request of `rule` ended `time` after the request arrived.
    pub(super) fn record_response_time(&self, rule: &Arc<str>, time: Duration) {
        let mut rule_times = self.rule_times.borrow_mut();
        let times = rule_times.entry(Arc::clone(rule)).or_default();
        times.response.add(time);
    }

    /// Drops the times of rules that the table does not have.
    fn retain_rule_times(&self) {
        let Some(table) = self.table() else { return };
        let rules = table.rules();
        let names: BTreeSet<_> = rules.map(|rule| &rule.name).collect();
        let mut rule_times = self.rule_times.borrow_mut();
        rule_times.retain(|name, _| names.contains(name));
    }
}

/// # Updates
impl Node {
    /// Applies an update of the live gateways.
    pub(super) fn apply_membership(&self, update: gateway::MembershipUpdate) {
        let mut membership = self.membership.borrow_mut();
        match membership.apply(update) {
            Some(after) => *membership = after,
            // The update is based on another version; version 0 makes the next reply bring the whole membership.
            None => membership.version = 0,
        }
        self.stopping_gateways
            .retain_members(&membership, self.now());
    }

    /// Applies which server versions may be used without the hub.
    pub(super) fn apply_policy(&self, policy: Policy) {
        *self.policy.borrow_mut() = policy;
        self.update_pools();
    }

    /// Changes the server lists with `change`, and updates the pools if the subset has a new version.
    pub(super) fn update_server_list(&self, change: impl FnOnce(&mut ServerListCache)) {
        let mut server_lists = self.server_lists.borrow_mut();
        let former = server_lists.get_subset().version;
        change(&mut server_lists);
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

/// Each server version in use, with the number of its servers, for the log.
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

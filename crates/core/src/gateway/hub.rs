//! The hub, which coordinates the gateways.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::evacuation;
use crate::id;
use crate::limit;
use crate::limit::Warmup;
use crate::pool::Part;
use crate::pool::RetryAllowance;
use crate::pool::Scheduling;
use crate::pool::ShareWatch;
use crate::publication;
use crate::quarantine;
use crate::quota::Limiter;
use crate::quota::Tolerance;
use crate::rollout;
use crate::rollout::Policy;
use crate::rollout::Trials;
use crate::route::Table;

use super::BulkSchedule;
use super::Gateway;
use super::Poll;
use super::ServerList;
use super::ShareAllocator;
use super::Shares;
use super::Standbys;
use super::StopNotice;
use super::Ticket;
use super::dispatch::Dispatcher;
use super::list_fetchers::ListFetchers;
use super::membership::MembershipHistory;
use super::retries::Retries;
use super::retries::RetryBlocks;
use super::streams::Keeper;
use super::streams::Streams;
use super::subset::ServerListDelta;
use super::subset::Subset;
use super::subset::SubsetSelector;

/// Settings of the hub.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Time without a poll after which a gateway is removed from the membership.
    ///
    /// It is several times the longest wait of a poll, so that a single lost reply removes no
    /// gateway.
    pub gateway_timeout: Duration,
    /// Time without a poll after which a gateway is forgotten.
    pub forget_after: Duration,
    /// How much may be admitted beyond a quota.
    pub tolerance: Tolerance,
    /// Bounds for a version on trial, or `None` if roll-outs are not available.
    pub rollouts: Option<rollout::Bounds>,
    /// The retries that are allowed, or `None` if none are configured.
    pub retries: Option<RetryAllowance>,
    /// How much a cold server tolerates beyond its request rate.
    pub cold: limit::Slack,
    /// The parts of scheduling under hard load that are switched on.
    pub scheduling: Scheduling,
    /// The capacity of the host's link in bytes per second, or 0 if it is not known.
    pub link_bytes_per_s: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            gateway_timeout: Duration::from_millis(1_200),
            forget_after: Duration::from_secs(10),
            tolerance: Tolerance::default(),
            rollouts: None,
            retries: None,
            cold: limit::Slack::default(),
            scheduling: Scheduling::default(),
            link_bytes_per_s: 0.0,
        }
    }
}

/// The state of one gateway.
#[derive(Clone, Debug)]
pub(super) struct GatewayState {
    pub(super) gateway: Gateway,
    ready: bool,
    /// The version of the policy that it applies to server versions and data halls.
    pub(super) policy_version: u64,
    last_poll: Instant,
    /// The version of the membership that it has.
    membership_version: u64,
    pub(super) subset: Subset,
    /// Whether a control replica runs beside it.
    pub(super) has_replica: bool,
    /// Whether it is in the membership.
    is_member: bool,
    /// When it timed out, if it has since its last poll.
    timed_out: Option<Instant>,
}

impl GatewayState {
    /// Returns whether it polled less than `timeout` before `now`.
    fn is_live(&self, timeout: Duration, now: Instant) -> bool {
        now.since(self.last_poll) < timeout
    }
}

/// Number of standbys where not all gateways can be one.
///
/// A share of a customer's tolerance must allow some requests: a two-hundredth of it is less than
/// one request, so that nothing was admitted. With fewer standbys, the loss of one keeps a larger
/// fraction of all quotas reserved for 10 s.
const MAX_STANDBYS: usize = 8;

/// Largest number of gateways that are all standbys. This saves the call to a standby, and an
/// eighteenth of a customer's tolerance still allows one or two requests.
const MAX_GATEWAYS_ALL_STANDBY: usize = 16;

/// Interval between two scans of all gateways: at most a twentieth of the time after which a
/// gateway counts as timed out.
const GATEWAY_SCAN_INTERVAL: Duration = Duration::from_millis(20);

/// The hub, which coordinates the gateways.
///
/// It starts empty with each leader. Memory is linear in the gateways, the servers and the requests
/// in flight. A poll takes time linear in the gateway's subset of the servers, and additionally
/// linear in all servers when the list has changed.
#[derive(Debug)]
pub struct Hub {
    pub(super) tuning: Tuning,
    pub(super) gateways: BTreeMap<id::Host, GatewayState>,
    pub(super) dispatcher: Dispatcher,
    pub(super) limiter: Limiter,
    /// Allocates the shares of retries without the hub.
    pub(super) retry_shares: ShareAllocator,
    /// Allocates the shares of what is admitted without the hub.
    pub(super) standby_shares: ShareAllocator,
    /// The gateways with such a share, as they are announced.
    pub(super) standbys: Standbys,
    /// The gateways that lend slots of their shares, as they are announced.
    pub(super) slot_lenders: Standbys,
    /// Whether the shares or the gateways have changed since the lenders were determined.
    pub(super) are_lenders_outdated: bool,
    /// The leases on the newest table.
    pub(super) table_leases: publication::Grantor,
    /// The number of the last reply.
    pub(super) last_reply: u64,
    table_version: u64,
    pub(super) server_list: Arc<ServerList>,
    /// Which gateways could not fetch the list.
    list_fetchers: ListFetchers,
    pub(super) subset_selector: SubsetSelector,
    /// The difference between the former server list and this one.
    pub(super) server_list_delta: ServerListDelta,
    pub(super) membership: MembershipHistory,
    pub(super) bulk_schedule: BulkSchedule,
    pub(super) trials: Trials,
    /// The data halls that are evacuated.
    pub(super) evacuated: evacuation::EvacuatedHalls,
    /// Where gateways may send by local decision. Its version is 0 until one is committed.
    pub(super) policy: Policy,
    pub(super) retries: Retries,
    /// Tracks requests under which servers crash.
    pub(super) tracker: quarantine::Tracker,
    /// The committed list of requests in quarantine.
    pub(super) quarantine: quarantine::List,
    /// The limits that servers announced.
    pub(super) limits: limit::Table,
    /// The requests that quarantine has removed from the queue.
    pub(super) rejected: Vec<(Ticket, quarantine::Rejection)>,
    /// Watches which customers ask for more slot time than their share.
    pub(super) share_watch: ShareWatch,
    /// The streams that callers may resume.
    pub(super) streams: Streams,
    /// When the hub started.
    pub(super) started: Instant,
    /// When the gateways were last scanned.
    last_scan: Option<Instant>,
}

impl Hub {
    /// Creates an empty hub that starts at `now`.
    #[must_use]
    pub fn new(tuning: Tuning, now: Instant) -> Self {
        Self {
            tuning,
            gateways: BTreeMap::new(),
            dispatcher: Dispatcher::default(),
            limiter: Limiter::new(tuning.tolerance),
            retry_shares: ShareAllocator::new(now),
            standby_shares: ShareAllocator::new(now),
            standbys: Standbys::default(),
            slot_lenders: Standbys::default(),
            are_lenders_outdated: true,
            table_leases: publication::Grantor::new(now),
            last_reply: 0,
            table_version: 0,
            server_list: Arc::default(),
            list_fetchers: ListFetchers::default(),
            subset_selector: SubsetSelector::default(),
            server_list_delta: ServerListDelta::default(),
            membership: MembershipHistory::default(),
            bulk_schedule: BulkSchedule::default(),
            trials: Trials::new(tuning.rollouts),
            evacuated: evacuation::EvacuatedHalls::default(),
            policy: Policy::default(),
            retries: Retries::new(tuning.retries, now),
            tracker: quarantine::Tracker::default(),
            quarantine: quarantine::List::default(),
            limits: limit::Table::new(0),
            rejected: Vec::new(),
            share_watch: ShareWatch::default(),
            streams: Streams::default(),
            started: now,
            last_scan: None,
        }
    }

    /// Sets the random number that distinguishes the grants and replies of this hub from those of
    /// others.
    #[must_use]
    pub fn with_id(mut self, hub_id: u64) -> Self {
        self.dispatcher = Dispatcher::new(hub_id);
        self.tracker = quarantine::Tracker::new(hub_id);
        self.last_reply = hub_id;
        self.limits = limit::Table::new(hub_id);
        self
    }

    /// Applies the quotas and cold rates of a newer table.
    pub fn apply_table(&mut self, table: &Table, now: Instant) {
        if table.get_version() > self.table_version {
            self.table_version = table.get_version();
            let policies = table.customers();
            let policies = policies.map(|policy| (&policy.name, policy.quota));
            self.limiter.set_quotas(policies, now);
            let services = table.get_services().iter();
            let warmups = services.filter_map(|(service, provider)| {
                let rate = provider.cold_rate?;
                Some((service.clone(), Warmup::new(rate, self.tuning.cold)))
            });
            self.dispatcher.set_warmups(warmups.collect(), now);
            self.dispatcher
                .set_scheduling(table.scheduling(self.tuning.scheduling));
            self.dispatcher.set_engines(table.engines());
        }
    }

    /// Declares the applied table to be the first of all, so that no quota has been used and no lease granted yet.
    pub fn mark_first_table(&mut self, now: Instant) {
        self.table_leases.no_former_leases(now);
        self.reserve_for_standbys(now);
        self.limiter.fill_all(now);
    }

    /// Replaces the list of backend servers.
    pub fn set_server_list(&mut self, server_list: Arc<ServerList>) {
        let admitted = self.admitted_servers(&server_list);
        self.dispatcher.set_servers(&admitted, &self.limits);
        self.server_list_delta = ServerListDelta::between(&self.server_list, &server_list);
        self.subset_selector = SubsetSelector::new(&server_list);
        self.streams.set_server_list(&server_list);
        self.server_list = server_list;
    }

    /// Returns the list of backend servers.
    #[must_use]
    pub fn get_server_list(&self) -> &Arc<ServerList> {
        &self.server_list
    }

    /// Records the state that a gateway reports in a poll.
    pub fn on_poll(&mut self, poll: &Poll, now: Instant) {
        self.retry_shares
            .on_poll(&poll.host, poll.last_reply, poll.given_up_unused, now);
        self.standby_shares
            .on_poll(&poll.host, poll.last_reply, 0.0, now);
        let former = self.gateways.get(&poll.host);
        let former = former.filter(|state| state.gateway.incarnation != poll.gateway.incarnation);
        if let Some(last_poll) = former.map(|state| state.last_poll) {
            self.observe_lost(&poll.host, last_poll, now);
            self.dispatcher.forget_grants(&poll.host);
        }
        if let Some(state) = self.gateways.get_mut(&poll.host) {
            // A new process of the same host has another address for callers.
            state.is_member &= state.gateway == poll.gateway;
            state.gateway.clone_from(&poll.gateway);
            state.ready = poll.ready;
            self.are_lenders_outdated |= state.has_replica != poll.wants_whole_list;
            state.has_replica = poll.wants_whole_list;
            state.policy_version = poll.policy_version;
            state.last_poll = now;
            state.timed_out = None;
            state.membership_version = poll.membership_version;
        } else {
            let state = GatewayState {
                gateway: poll.gateway.clone(),
                ready: poll.ready,
                policy_version: poll.policy_version,
                last_poll: now,
                membership_version: poll.membership_version,
                subset: Subset::default(),
                has_replica: poll.wants_whole_list,
                is_member: false,
                timed_out: None,
            };
            self.are_lenders_outdated = true;
            self.gateways.insert(poll.host.clone(), state);
        }
        self.list_fetchers
            .record_silence(&poll.host, poll.platform_silence, now);
        self.table_leases
            .on_poll(&poll.host, poll.known_table, poll.table_in_effect);
        self.dispatcher
            .report(&poll.host, poll.last_grant, &poll.loads);
        self.observe(&poll.observations, now);
        self.apply_limit_reports(&poll.host, &poll.limit_reports, now);
    }

    /// Returns the gateway that fetches the server list for all: the one on the host `beside`, or another live one if
    /// the platform does not answer that. They take turns, those in other data halls and those beside a replica first.
    pub fn fetcher(&mut self, beside: &id::Host, now: Instant) -> Option<id::Host> {
        let fetchers = &self.list_fetchers;
        let is_live = |host: &id::Host| {
            let state = self.gateways.get(host);
            state.is_some_and(|state| self.is_live(state, now))
        };
        if fetchers.failed_at(beside).is_none() && is_live(beside) {
            return Some(beside.clone());
        }
        if let Some(current) = fetchers.current().filter(|host| is_live(host)) {
            return Some(current.clone());
        }
        let hall = |host| self.gateways.get(host).map(|state| &state.gateway.hall);
        let failed_hall = fetchers.last_failed().and_then(hall);
        let live = self.gateways.iter();
        let live = live.filter(|(_, state)| self.is_live(state, now));
        let next = live.min_by_key(|(host, state)| {
            let is_same_hall = failed_hall == Some(&state.gateway.hall);
            (fetchers.failed_at(host), is_same_hall, !state.has_replica)
        });
        let next = next.map(|(host, _)| host.clone());
        self.list_fetchers.set_current(next.clone());
        next
    }

    /// Returns the gateways that may still send callers to one that has stopped being ready.
    pub(super) fn unaware_of(&self, notice: StopNotice) -> Vec<SocketAddr> {
        let Some(versions_without) = self.membership.versions_without(notice) else {
            return Vec::new();
        };
        let others = self.gateways.values();
        let others = others.filter(|state| state.gateway.callers != notice.callers);
        let unaware = others.filter(|state| !versions_without.contains(&state.membership_version));
        unaware.map(|state| state.gateway.callers).collect()
    }

    /// Returns the number of known gateways.
    #[must_use]
    pub fn gateway_count(&self) -> u32 {
        u32::try_from(self.gateways.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether a gateway polled recently enough not to be timed out.
    fn is_live(&self, state: &GatewayState, now: Instant) -> bool {
        state.is_live(self.gateway_timeout(), now)
    }

    /// Determines which gateways are live, at most once per [`GATEWAY_SCAN_INTERVAL`].
    pub(super) fn scan_gateways(&mut self, now: Instant) {
        if self
            .last_scan
            .is_some_and(|last_scan| now.since(last_scan) < GATEWAY_SCAN_INTERVAL)
        {
            return;
        }
        let is_first = self.last_scan.replace(now).is_none();
        self.drop_timed_out(now);
        let forget_after = self.tuning.forget_after;
        let former_count = self.gateways.len();
        self.gateways
            .retain(|_, state| now.since(state.last_poll) < forget_after);
        let is_forgotten = self.gateways.len() < former_count;
        if is_forgotten {
            let gateways = &self.gateways;
            self.limits
                .retain_gateways(|host| gateways.contains_key(host));
            self.list_fetchers
                .retain(|host| gateways.contains_key(host));
            self.table_leases
                .retain(now, |host| gateways.contains_key(host));
        }
        let timeout = self.gateway_timeout();
        let mut is_changed = is_first || is_forgotten;
        for state in self.gateways.values_mut() {
            let is_member = state.ready && state.is_live(timeout, now);
            is_changed |= is_member != state.is_member;
            state.is_member = is_member;
        }
        if is_changed {
            let members = self.gateways.values().filter(|state| state.is_member);
            let gateways = members.map(|state| state.gateway.clone()).collect();
            self.membership.set(gateways);
            let live = self.gateways.iter().filter(|(_, state)| state.is_member);
            let keepers = live.map(|(host, state)| Keeper {
                host: host.clone(),
                hall: Arc::clone(&state.gateway.hall),
                has_replica: state.has_replica,
            });
            self.streams.set_keepers(keepers.collect());
        }
    }

    /// Drops what timed-out gateways had in flight.
    fn drop_timed_out(&mut self, now: Instant) {
        let timeout = self.gateway_timeout();
        let mut lost = Vec::new();
        for (host, state) in &mut self.gateways {
            if state.timed_out.is_none() && !state.is_live(timeout, now) {
                state.timed_out = Some(now);
                lost.push((host.clone(), state.last_poll));
            }
        }
        for (host, last_poll) in lost {
            self.observe_lost(&host, last_poll, now);
        }
        let has_local_slots = self.dispatcher.has_local_slots();
        let timed_out = self
            .gateways
            .iter()
            .filter(|(_, state)| !state.is_live(timeout, now));
        // A holder of a share of the slots may only have lost the hub, and go on.
        let gone = timed_out.filter(|(host, state)| {
            let may_go_on = has_local_slots && self.retry_shares.is_holder(host);
            !may_go_on || now.since(state.last_poll) >= self.tuning.forget_after
        });
        for (host, _) in gone {
            self.dispatcher.drop_host(host);
        }
    }
}

/// # Shares and tables
impl Hub {
    /// Applies the committed shares of retries.
    pub fn apply_retry_shares(&mut self, shares: &Shares, now: Instant) {
        self.retry_shares.apply(shares, now);
        self.are_lenders_outdated = true;
    }

    /// Returns the shares of retries to commit if they should change.
    pub fn propose_retry_shares(&mut self, now: Instant) -> Option<Shares> {
        let is_numbered = self.tuning.scheduling.has(Part::LocalSlots);
        self.retry_shares.set_numbered(is_numbered);
        let gateways = &self.gateways;
        // Gateways beside a replica lend no slots, and the lowest numbers have the slots of small services.
        let lends_nothing =
            |host: &id::Host| gateways.get(host).is_some_and(|state| state.has_replica);
        self.retry_shares.propose(usize::MAX, lends_nothing, now)
    }

    /// Applies the committed blocks of retries.
    pub fn apply_retry_blocks(&mut self, blocks: &RetryBlocks) {
        self.retries.apply(blocks);
    }

    /// Returns the blocks of retries to commit if they should change.
    pub fn propose_retry_blocks(&mut self, now: Instant) -> Option<RetryBlocks> {
        self.retries.propose(self.dispatcher.services(), now)
    }

    /// Applies the committed standbys.
    pub fn apply_standbys(&mut self, shares: &Shares, now: Instant) {
        self.standby_shares.apply(shares, now);
        self.standbys = Standbys::new(shares.holders.iter().cloned().collect());
    }

    /// Returns the standbys to commit if they should change.
    pub fn propose_standbys(&mut self, now: Instant) -> Option<Shares> {
        let max_standbys = if self.all_can_be_standbys() {
            usize::MAX
        } else {
            MAX_STANDBYS
        };
        self.standby_shares.propose(max_standbys, |_| false, now)
    }

    /// Returns whether there are few enough gateways for all of them to be standbys.
    pub(super) fn all_can_be_standbys(&self) -> bool {
        self.gateways.len() <= MAX_GATEWAYS_ALL_STANDBY
    }

    /// Returns the leases on the newest table.
    #[must_use]
    pub fn get_table_leases(&self) -> &publication::Grantor {
        &self.table_leases
    }
}

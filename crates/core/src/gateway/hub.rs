//! The hub: what the gateways tell, summed up.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::evacuation;
use crate::id;
use crate::limit;
use crate::limit::Warmup;
use crate::pool::RetryAllowance;
use crate::quarantine;
use crate::quota::Limiter;
use crate::quota::Tolerance;
use crate::rollout;
use crate::rollout::Policy;
use crate::rollout::Trials;
use crate::route::Table;

use super::BulkSchedule;
use super::Distribution;
use super::Gateway;
use super::Poll;
use super::ServerList;
use super::ShareAllocator;
use super::Shares;
use super::Standbys;
use super::Ticket;
use super::dispatch::Dispatcher;
use super::membership::MembershipHistory;
use super::retries::Retries;
use super::subset::Delta;
use super::subset::Subset;
use super::subset::Subsets;

/// How long silence means what.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// After how long a gateway that is not heard is left out of the roll.
    ///
    /// Several of the waits that a question takes at most, so that one lost answer takes nobody
    /// out.
    pub gateway_timeout: Duration,
    /// After how long it is forgotten.
    pub forget_after: Duration,
    /// How much more than an allowance may be let in.
    pub tolerance: Tolerance,
    /// What is borne of a version that is on trial; none where roll-outs are not to be had.
    pub rollouts: Option<rollout::Bounds>,
    /// How many sendings past the first are allowed; none where nothing says so.
    pub retries: Option<RetryAllowance>,
    /// What more than its rate a cold server bears.
    pub cold: limit::Slack,
    /// What the host's link carries, in bytes a second; 0 where that is not known.
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
            link_bytes_per_s: 0.0,
        }
    }
}

/// What is known of one gateway.
#[derive(Clone, Debug)]
pub(super) struct Seen {
    gateway: Gateway,
    ready: bool,
    /// The version of the policy on versions that it goes by.
    pub(super) policy: u64,
    heard: Instant,
    pub(super) subset: Subset,
    /// Whether it is on the roll.
    on_roll: bool,
}

impl Seen {
    /// Whether it was heard less than `silent` before `now`.
    fn is_live(&self, silent: Duration, now: Instant) -> bool {
        now.since(self.heard) < silent
    }
}

/// How many of many gateways hold a part of what may be let in without the hub's word.
///
/// A part of a customer's tolerance must be worth some requests: a two-hundredth of it is less than one, and
/// nothing was let in. With fewer, the loss of one sets more of all allowances aside for 10 s.
const DEPUTIES: usize = 8;

/// Up to how many gateways each holds such a part itself: it saves the call to a deputy, and an eighteenth
/// of a customer's tolerance is still worth a request or two.
const FEW: usize = 16;

/// Between two looks at all gateways: a twentieth of the silence that makes one count as gone, or less.
const LOOK: Duration = Duration::from_millis(20);

/// What the gateways tell, summed up.
///
/// It begins empty with each leader. Memory is linear in the gateways, the servers and what is in flight;
/// a question costs time linear in the asker's subset of the servers, and once more in all of them when
/// the list has changed.
#[derive(Debug)]
pub struct Hub {
    pub(super) tuning: Tuning,
    pub(super) seen: BTreeMap<id::Host, Seen>,
    pub(super) dispatcher: Dispatcher,
    pub(super) desk: Limiter,
    /// Of the parts of the sendings past the first.
    pub(super) keeper: ShareAllocator,
    /// Of the parts of what is let in without its word.
    pub(super) deputies: ShareAllocator,
    /// Who holds those, as gateways are told.
    pub(super) holders: Standbys,
    distribution: Distribution,
    /// The number of its last answer.
    pub(super) answers: u64,
    table: u64,
    pub(super) listing: Arc<ServerList>,
    pub(super) subsets: Subsets,
    /// What the list has changed in since the one before it.
    pub(super) delta: Delta,
    pub(super) rolls: MembershipHistory,
    pub(super) pace: BulkSchedule,
    pub(super) trials: Trials,
    /// The data halls that are evacuated.
    pub(super) evacuated: evacuation::EvacuatedHalls,
    /// Where gateways may send by their own choice; of version 0 before anything was agreed.
    pub(super) policy: Policy,
    pub(super) retries: Retries,
    /// Which requests are kept away from the servers.
    pub(super) cases: quarantine::Tracker,
    /// Those, as they are agreed.
    pub(super) quarantine: quarantine::List,
    /// The limits that servers name.
    pub(super) limits: limit::Table,
    /// Who has lost its place in line by what ended under such a request elsewhere.
    pub(super) withheld: Vec<Ticket>,
    /// When it began.
    pub(super) began: Instant,
    /// When silent gateways were last looked for.
    looked: Option<Instant>,
}

impl Hub {
    /// A hub that begins at `now` and knows nothing yet.
    #[must_use]
    pub fn new(tuning: Tuning, now: Instant) -> Self {
        Self {
            tuning,
            seen: BTreeMap::new(),
            dispatcher: Dispatcher::default(),
            desk: Limiter::new(tuning.tolerance),
            keeper: ShareAllocator::new(now),
            deputies: ShareAllocator::new(now),
            holders: Standbys::default(),
            distribution: Distribution::new(tuning.link_bytes_per_s),
            answers: 0,
            table: 0,
            listing: Arc::default(),
            subsets: Subsets::default(),
            delta: Delta::default(),
            rolls: MembershipHistory::default(),
            pace: BulkSchedule::default(),
            trials: Trials::new(tuning.rollouts),
            evacuated: evacuation::EvacuatedHalls::default(),
            policy: Policy::default(),
            retries: Retries::new(tuning.retries, now),
            cases: quarantine::Tracker::default(),
            quarantine: quarantine::List::default(),
            limits: limit::Table::new(0),
            withheld: Vec::new(),
            began: now,
            looked: None,
        }
    }

    /// Its own number, drawn when it begins: it tells its grants and answers from those of other hubs.
    #[must_use]
    pub fn with_id(mut self, number: u64) -> Self {
        self.dispatcher = Dispatcher::new(number);
        self.cases = quarantine::Tracker::new(number);
        self.answers = number;
        self.limits = limit::Table::new(number);
        self
    }

    /// Takes up a newer table's allowances.
    pub fn apply_table(&mut self, table: &Table, now: Instant) {
        if table.get_number() > self.table {
            self.table = table.get_number();
            let accounts = table.customers();
            let accounts = accounts.map(|account| (&account.name, account.quota));
            self.desk.set_quotas(accounts, now);
            let services = table.get_services().iter();
            let warmups = services.filter_map(|(service, provider)| {
                let rate = provider.cold_rate?;
                Some((service.clone(), Warmup::new(rate, self.tuning.cold)))
            });
            self.dispatcher.set_warmups(warmups.collect(), now);
        }
    }

    /// Says that the table that was taken up is the first of all, so that nobody has used anything.
    pub fn mark_first_table(&mut self, now: Instant) {
        self.reserve_for_standbys(now);
        self.desk.fill_all(now);
    }

    /// Takes up a newer list of backend servers.
    pub fn set_server_list(&mut self, listing: Arc<ServerList>) {
        let admitted = self.admitted_servers(&listing);
        self.dispatcher.adopt(&admitted, &self.limits);
        self.delta = Delta::between(&self.listing, &listing);
        self.subsets = Subsets::of(&listing);
        self.listing = listing;
    }

    /// The list that it gives out.
    #[must_use]
    pub fn get_server_list(&self) -> &Arc<ServerList> {
        &self.listing
    }

    /// Takes note of what a gateway tells.
    pub fn on_poll(&mut self, question: &Poll, now: Instant) {
        self.keeper
            .on_poll(&question.host, question.last_reply, now);
        self.deputies
            .on_poll(&question.host, question.last_reply, now);
        if let Some(seen) = self.seen.get_mut(&question.host) {
            // Another process of the host, which callers reach elsewhere.
            seen.on_roll &= seen.gateway == question.gateway;
            seen.gateway.clone_from(&question.gateway);
            seen.ready = question.ready;
            seen.policy = question.policy_version;
            seen.heard = now;
        } else {
            let seen = Seen {
                gateway: question.gateway.clone(),
                ready: question.ready,
                policy: question.policy_version,
                heard: now,
                subset: Subset::default(),
                on_roll: false,
            };
            self.seen.insert(question.host.clone(), seen);
        }
        self.dispatcher
            .report(&question.host, question.last_grant, &question.loads);
        self.observe(&question.observations, now);
        self.apply_limit_reports(&question.host, &question.limit_reports, now);
    }

    /// The gateway that fetches the list for all: the one on `beside`, or the first that is heard.
    #[must_use]
    pub fn fetcher(&self, beside: &id::Host, now: Instant) -> Option<id::Host> {
        let live = |seen: &Seen| self.is_live(seen, now);
        if self.seen.get(beside).is_some_and(live) {
            return Some(beside.clone());
        }
        let mut seen = self.seen.iter();
        let first = seen.find(|(_, seen)| live(seen));
        first.map(|(host, _)| host.clone())
    }

    /// How many gateways it knows.
    #[must_use]
    pub fn gateway_count(&self) -> u32 {
        u32::try_from(self.seen.len()).unwrap_or(u32::MAX)
    }

    /// Whether a gateway was heard so lately that it is not silent.
    fn is_live(&self, seen: &Seen, now: Instant) -> bool {
        seen.is_live(self.gateway_timeout(), now)
    }

    /// Looks which gateways live, at most once in [`LOOK`].
    pub(super) fn scan_gateways(&mut self, now: Instant) {
        if self.looked.is_some_and(|looked| now.since(looked) < LOOK) {
            return;
        }
        let is_first = self.looked.replace(now).is_none();
        self.drop_timed_out(now);
        let forget = self.tuning.forget_after;
        let known = self.seen.len();
        self.seen.retain(|_, seen| now.since(seen.heard) < forget);
        let is_forgotten = self.seen.len() < known;
        if is_forgotten {
            let seen = &self.seen;
            self.limits.retain_gateways(|host| seen.contains_key(host));
        }
        let silent = self.gateway_timeout();
        let mut is_changed = is_first || is_forgotten;
        for seen in self.seen.values_mut() {
            let on_roll = seen.ready && seen.is_live(silent, now);
            is_changed |= on_roll != seen.on_roll;
            seen.on_roll = on_roll;
        }
        if is_changed {
            let on_roll = self.seen.values().filter(|seen| seen.on_roll);
            let gateways = on_roll.map(|seen| seen.gateway.clone()).collect();
            self.rolls.set(gateways);
        }
    }

    /// Drops what silent gateways had in flight.
    fn drop_timed_out(&mut self, now: Instant) {
        let silent = self.gateway_timeout();
        let silent = self
            .seen
            .iter()
            .filter(|(_, seen)| !seen.is_live(silent, now));
        for (host, _) in silent {
            self.dispatcher.drop_host(host);
        }
    }
}

/// # Parts and tables
impl Hub {
    /// Takes up the parts as they stand in the log.
    pub fn apply_retry_shares(&mut self, parts: &Shares, now: Instant) {
        self.keeper.apply(parts, now);
    }

    /// The parts as they are to be, where they are to change.
    pub fn propose_retry_shares(&mut self, now: Instant) -> Option<Shares> {
        self.keeper.propose(usize::MAX, now)
    }

    /// Takes up the deputies as they stand in the log.
    pub fn apply_standbys(&mut self, parts: &Shares, now: Instant) {
        self.deputies.apply(parts, now);
        self.holders = Standbys::new(parts.holders.iter().cloned().collect());
    }

    /// The deputies as they are to be, where they are to change.
    pub fn propose_standbys(&mut self, now: Instant) -> Option<Shares> {
        let most = if self.all_can_be_standbys() {
            usize::MAX
        } else {
            DEPUTIES
        };
        self.deputies.propose(most, now)
    }

    /// Whether all gateways can be deputies.
    pub(super) fn all_can_be_standbys(&self) -> bool {
        self.seen.len() <= FEW
    }

    /// Whose turn it is to be handed the table.
    pub fn distribution(&mut self) -> &mut Distribution {
        &mut self.distribution
    }
}

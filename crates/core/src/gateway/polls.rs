//! How the hub replies to polls of gateways.

use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::publication;
use crate::state::Publication;

use super::Hub;
use super::Poll;
use super::Reply;
use super::ServerList;
use super::Standbys;
use super::server_list;

/// Time that a poll waits for an update, for each gateway that polls.
///
/// It bounds the age of the load over all gateways, and so how many of them may choose the same
/// server without knowing of each other.
const POLL_TIMEOUT_PER_GATEWAY: Duration = Duration::from_millis(3);

/// Minimum time that a poll waits: as long as an attempt takes to show in the reported load.
const MIN_POLL_TIMEOUT: Duration = Duration::from_millis(30);

/// Maximum time that a poll waits with up to a few hundred gateways, so that a new table reaches
/// all of them within its bound.
const MAX_POLL_TIMEOUT: Duration = Duration::from_millis(250);

/// Time that a poll waits for each gateway in larger deployments: all of them together send 2,000
/// polls a second.
const LARGE_DEPLOYMENT_POLL_TIMEOUT_PER_GATEWAY: Duration = Duration::from_micros(500);

/// Number of gateways that lend slots. A service with fewer slots than that has a slot at most of them; of one with more
/// slots, each lends several.
const MAX_SLOT_LENDERS: usize = 16;

/// Size in bytes of the largest packed table that a reply includes. Larger ones are fetched in
/// chunks.
const MAX_INLINE_TABLE: usize = 4 << 10;

/// # Replies to polls
impl Hub {
    /// Returns the reply to a poll that [`Hub::on_poll`] has recorded. `publication` is the active
    /// table.
    pub fn reply(&mut self, poll: &Poll, publication: &Publication, now: Instant) -> Reply {
        self.update_subset(&poll.host);
        let mut reply = self.small_reply(poll, publication, now);
        let is_small = publication.document.as_packed().len() <= MAX_INLINE_TABLE;
        let is_inline = is_small && publication.version > poll.table_in_effect;
        reply.table = is_inline.then(|| publication.clone());
        let has_list_update = self.has_list_update(poll);
        reply.server_list = has_list_update.then(|| self.server_list_update(poll));
        reply.membership = self.membership.update_since(poll.membership_version);
        self.bulk_schedule.finish(&poll.host);
        reply
    }

    /// Returns when a gateway may receive its large updates, or nothing if there are none for it.
    pub fn bulk_time(&mut self, poll: &Poll, now: Instant) -> Option<Instant> {
        let is_large =
            self.has_list_update(poll) || self.membership.needs_whole(poll.membership_version);
        is_large.then(|| self.bulk_schedule.reserve(&poll.host, now))
    }

    /// Returns the reply without large updates: lists, memberships and tables. It says which table is the newest, and
    /// grants a lease on that.
    pub fn small_reply(&mut self, poll: &Poll, publication: &Publication, now: Instant) -> Reply {
        self.scan_gateways(now);
        self.last_reply = self.last_reply.wrapping_add(1);
        let process = poll.limit_reports.incarnation;
        let retry_share = self
            .retry_shares
            .on_reply(&poll.host, process, self.last_reply, now);
        let admission_share = self.admission_share(poll, now);
        let slot_lenders = self.slot_lenders_update(poll);
        let poll_timeout = self.poll_timeout(poll);
        let table_lease = publication::Grantor::lease(poll_timeout);
        self.table_leases
            .grant(&poll.host, publication.version, table_lease, now);
        let unaware = if poll.ready {
            Vec::new()
        } else {
            self.unaware_of(poll.gateway.stop_notice())
        };
        let incarnations = self.gateways.get(&poll.host);
        let incarnations = incarnations.map_or(&[][..], |state| &state.subset.incarnations);
        Reply {
            number: self.last_reply,
            hub_id: self.dispatcher.hub_id(),
            quarantine: self.quarantine.update_since(poll.quarantine_version),
            limits: self.limits.update_since(poll.limits_version),
            retry_share,
            slot_share: self.retry_shares.slot_share(&poll.host),
            slot_lenders,
            admission_share,
            standbys: self.standbys_update(poll),
            newest_table: publication.version,
            table_lease,
            poll_timeout,
            server_list_version: self.server_list.version,
            policy: self.policy_update(poll),
            stream_versions: self.streams.versions_update(poll),
            stream_copies: self.streams.take_copies(&poll.host),
            rejection_limits: self.dispatcher.rejection_limits(),
            unaware,
            other_loads: self.dispatcher.other_loads(&poll.host, incarnations),
            ..Reply::default()
        }
    }

    /// Returns how long a poll waits for an update.
    ///
    /// Load pattern: a thousand gateways, each with one request in two seconds. If each polls four
    /// times a second, the polls alone take half of a leader's core. Standbys, whose shares the hub
    /// reserves when they acknowledge no reply, and gateways beside a replica poll as often as in a
    /// small deployment.
    #[must_use]
    pub fn poll_timeout(&self, poll: &Poll) -> Duration {
        let gateway_count = self.gateway_count();
        let timeout =
            (POLL_TIMEOUT_PER_GATEWAY * gateway_count).clamp(MIN_POLL_TIMEOUT, MAX_POLL_TIMEOUT);
        if poll.wants_whole_list || self.standbys.hosts.contains(&poll.host) {
            return timeout;
        }
        timeout.max(LARGE_DEPLOYMENT_POLL_TIMEOUT_PER_GATEWAY * gateway_count)
    }

    /// Returns the update of a gateway's server list.
    fn server_list_update(&self, poll: &Poll) -> server_list::Update {
        if poll.wants_whole_list {
            return server_list::Update::Whole(ServerList::clone(&self.server_list));
        }
        let state = self.gateways.get(&poll.host);
        let change = state.and_then(|state| {
            state
                .subset
                .change_from(&self.server_list, poll.server_list_version)
        });
        change.map_or_else(
            || {
                server_list::Update::Whole(
                    self.subset_selector.subset(&self.server_list, &poll.host),
                )
            },
            server_list::Update::Change,
        )
    }

    /// Returns whether there is an update that is worth an immediate reply.
    #[must_use]
    pub fn has_update(&mut self, poll: &Poll) -> bool {
        if self.server_list.version == 0 {
            return false;
        }
        let has_other_policy = self.has_policy_update(poll);
        let has_other_quarantine = self.quarantine.get_version() != poll.quarantine_version;
        let has_other_limits = self.limits.is_outdated(poll.limits_version);
        let has_other_versions = self.streams.has_versions_update(poll);
        poll.needs_lease
            || has_other_policy
            || has_other_quarantine
            || has_other_limits
            || has_other_versions
            || self.has_list_update(poll)
    }

    /// Returns whether the gateway's server list or subset is out of date.
    ///
    /// A changed subset is computed only when it is sent. Computing the subsets of all gateways at
    /// once would keep a leader from its heartbeats.
    fn has_list_update(&mut self, poll: &Poll) -> bool {
        let version = self.server_list.version;
        let host = &poll.host;
        let Some(state) = self.gateways.get_mut(host).filter(|_| version != 0) else {
            return false;
        };
        if poll.wants_whole_list {
            return version != poll.server_list_version;
        }
        let is_current = state
            .subset
            .is_current(&self.server_list, &self.server_list_delta, host);
        !is_current || state.subset.version != poll.server_list_version
    }

    /// Updates the stored subset of a gateway to the current server list.
    fn update_subset(&mut self, host: &id::Host) {
        if let Some(state) = self.gateways.get_mut(host) {
            let subset = &mut state.subset;
            subset.update(
                &self.server_list,
                &self.subset_selector,
                &self.server_list_delta,
                host,
            );
        }
    }

    /// Returns the gateway's share of what is admitted without the hub.
    ///
    /// If only some gateways can be standbys, those beside a replica are none, as they fail
    /// together with it.
    fn admission_share(&mut self, poll: &Poll, now: Instant) -> f64 {
        if poll.wants_whole_list && !self.all_can_be_standbys() {
            return 0.0;
        }
        let process = poll.limit_reports.incarnation;
        let share = self
            .standby_shares
            .on_reply(&poll.host, process, self.last_reply, now);
        share.fraction
    }

    /// Returns the gateways that lend slots if the gateway knows others: those with the lowest numbers, which hold the
    /// slots of services that have fewer slots than there are shares. Gateways beside a replica are none, as replicas
    /// answer their calls.
    fn slot_lenders_update(&mut self, poll: &Poll) -> Option<Standbys> {
        if !self.dispatcher.has_local_slots() {
            return None;
        }
        if self.are_lenders_outdated {
            self.are_lenders_outdated = false;
            let gateways = &self.gateways;
            let lends = |host: &id::Host| {
                let state = gateways.get(host);
                state.is_some_and(|state| !state.has_replica)
            };
            let holders = self.retry_shares.first_holders(MAX_SLOT_LENDERS, lends);
            self.slot_lenders = Standbys::new(holders);
        }
        let lenders = &self.slot_lenders;
        (lenders.version != poll.slot_lenders_version).then(|| lenders.clone())
    }

    /// Returns the standbys if the gateway knows others.
    fn standbys_update(&self, poll: &Poll) -> Option<Standbys> {
        (self.standbys.version != poll.standbys_version).then(|| self.standbys.clone())
    }

    /// Returns the time without a poll after which a gateway counts as timed out. It covers more
    /// than two waits between its polls.
    pub(super) fn gateway_timeout(&self) -> Duration {
        let two_waits =
            LARGE_DEPLOYMENT_POLL_TIMEOUT_PER_GATEWAY * self.gateway_count() * 2 + MIN_POLL_TIMEOUT;
        self.tuning.gateway_timeout.max(two_waits)
    }
}

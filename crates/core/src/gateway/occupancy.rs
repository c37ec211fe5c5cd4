//! The requests of all gateways that are in flight at each backend server.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;

use super::Load;

/// Time after which a grant no longer counts if its gateway has not reported it: several round
/// trips between data halls and the delay of a busy host.
const GRANT_REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// A granted slot that no report covers yet.
#[derive(Clone, Debug)]
struct PendingGrant {
    number: u64,
    load: Load,
    granted_at: Instant,
}

/// What one gateway has in flight.
#[derive(Clone, Debug, Default)]
struct HostLoad {
    loads: Vec<Load>,
    pending_grants: VecDeque<PendingGrant>,
    /// The number of the last grant that the last report covers.
    last_seen: u64,
}

impl HostLoad {
    /// Returns all loads that count as in flight.
    fn all_loads(&self) -> impl Iterator<Item = &Load> {
        let pending = self.pending_grants.iter().map(|pending| &pending.load);
        self.loads.iter().chain(pending)
    }

    /// Removes grants from the front while `is_over` holds, and returns their loads.
    fn remove_grants_while(&mut self, is_over: impl Fn(&PendingGrant) -> bool) -> Vec<Load> {
        let mut removed = Vec::new();
        while let Some(pending) = self.pending_grants.pop_front_if(|pending| is_over(pending)) {
            removed.push(pending.load);
        }
        removed
    }
}

/// What all gateways have in flight: the last report of each and the grants since then.
///
/// Each report replaces the former one, so lost and duplicate reports do no lasting harm. Memory is
/// linear in what is in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct Occupancy {
    hosts: BTreeMap<id::Host, HostLoad>,
    /// The hosts of the pending grants in order of time, as scanning all gateways for each grant
    /// would take time linear in their number.
    grant_order: VecDeque<(Instant, id::Host)>,
    totals: BTreeMap<Arc<str>, Load>,
    /// The incarnations whose totals have changed since [`Occupancy::take_changed`].
    changed: BTreeSet<Arc<str>>,
    last_grant: u64,
}

impl Occupancy {
    /// Replaces what `host` has in flight by a report that covers its grants up to number
    /// `last_seen`.
    pub(super) fn report(&mut self, host: &id::Host, last_seen: u64, loads: &[Load]) {
        let host_load = self.hosts.entry(host.clone()).or_default();
        let former = std::mem::replace(&mut host_load.loads, loads.to_vec());
        host_load.last_seen = last_seen;
        let reported = host_load.remove_grants_while(|pending| pending.number <= last_seen);
        for load in loads {
            self.add(load);
        }
        for load in former.iter().chain(&reported) {
            self.subtract(load);
        }
    }

    /// Counts a slot that is granted to a request of `host`, and returns the number of the grant.
    pub(super) fn grant(&mut self, host: &id::Host, load: Load, now: Instant) -> u64 {
        self.last_grant += 1;
        self.add(&load);
        let pending = PendingGrant {
            number: self.last_grant,
            load,
            granted_at: now,
        };
        let host_load = self.hosts.entry(host.clone()).or_default();
        host_load.pending_grants.push_back(pending);
        self.grant_order.push_back((now, host.clone()));
        self.last_grant
    }

    /// Returns the number of the last grant.
    pub(super) fn last_grant(&self) -> u64 {
        self.last_grant
    }

    /// Drops grants that were not reported in time, except those of hosts that `is_silent` says can't report. Returns their
    /// loads.
    pub(super) fn expire(
        &mut self,
        is_silent: impl Fn(&id::Host) -> bool,
        now: Instant,
    ) -> Vec<Load> {
        let mut dropped = Vec::new();
        let is_late = |at: Instant| now.since(at) >= GRANT_REPORT_TIMEOUT;
        let mut kept = Vec::new();
        while let Some((at, host)) = self.grant_order.pop_front_if(|(at, _)| is_late(*at)) {
            if is_silent(&host) {
                kept.push((at, host));
                continue;
            }
            let host_load = self.hosts.get_mut(&host);
            let expired = host_load.map(|host_load| {
                host_load.remove_grants_while(|pending| is_late(pending.granted_at))
            });
            for load in expired.into_iter().flatten() {
                self.subtract(&load);
                dropped.push(load);
            }
        }
        for entry in kept.into_iter().rev() {
            self.grant_order.push_front(entry);
        }
        dropped
    }

    /// Drops what a gateway that timed out had in flight, as backend servers end requests whose
    /// client has gone.
    pub(super) fn drop_host(&mut self, host: &id::Host) {
        let Some(host_load) = self.hosts.remove(host) else {
            return;
        };
        for load in host_load.all_loads() {
            self.subtract(load);
        }
    }

    /// Returns what is in flight at `incarnation`, if anything.
    pub(super) fn get(&self, incarnation: &str) -> Option<&Load> {
        self.totals.get(incarnation)
    }

    /// Returns whether the request of `host` with the grant `number` at `incarnation` may be in flight: it is not covered
    /// by the last report, or there was something at the server.
    pub(super) fn may_be_in_flight(&self, host: &id::Host, number: u64, incarnation: &str) -> bool {
        self.hosts.get(host).is_none_or(|host_load| {
            let mut loads = host_load.loads.iter();
            number > host_load.last_seen || loads.any(|load| &*load.incarnation == incarnation)
        })
    }

    /// Returns how many requests `host` has in flight at the incarnations that `is_wanted` selects.
    pub(super) fn host_requests(&self, host: &id::Host, is_wanted: impl Fn(&str) -> bool) -> u32 {
        let loads = self.hosts.get(host).into_iter();
        let loads = loads.flat_map(HostLoad::all_loads);
        let wanted = loads.filter(|load| is_wanted(&load.incarnation));
        wanted.map(|load| load.requests).sum()
    }

    /// Returns what gateways other than `host` have in flight at `incarnations`, without the idle
    /// ones.
    pub(super) fn other_loads(&self, host: &id::Host, incarnations: &[Arc<str>]) -> Vec<Load> {
        let host_load = self.hosts.get(host);
        let totals = incarnations.iter();
        let totals = totals.filter_map(|incarnation| self.totals.get(incarnation));
        let others = totals.map(|total| {
            let mut others = total.clone();
            let own = host_load.into_iter().flat_map(HostLoad::all_loads);
            for load in own.filter(|load| load.incarnation == total.incarnation) {
                others.requests = others.requests.saturating_sub(load.requests);
                others.prefill_tokens.0 = others
                    .prefill_tokens
                    .0
                    .saturating_sub(load.prefill_tokens.0);
            }
            others
        });
        others.filter(|load| load.requests > 0).collect()
    }

    /// Returns the incarnations whose totals have changed since the last call.
    pub(super) fn take_changed(&mut self) -> BTreeSet<Arc<str>> {
        std::mem::take(&mut self.changed)
    }

    /// Marks the total of an incarnation as changed.
    pub(super) fn mark_changed(&mut self, incarnation: &Arc<str>) {
        self.changed.insert(Arc::clone(incarnation));
    }

    fn add(&mut self, load: &Load) {
        self.mark_changed(&load.incarnation);
        let total = self.totals.entry(Arc::clone(&load.incarnation));
        let total = total.or_insert_with(|| Load {
            incarnation: Arc::clone(&load.incarnation),
            ..Load::default()
        });
        total.requests = total.requests.saturating_add(load.requests);
        total.prefill_tokens.0 = total.prefill_tokens.0.saturating_add(load.prefill_tokens.0);
    }

    fn subtract(&mut self, load: &Load) {
        self.mark_changed(&load.incarnation);
        if let Some(total) = self.totals.get_mut(&load.incarnation) {
            total.requests = total.requests.saturating_sub(load.requests);
            total.prefill_tokens.0 = total.prefill_tokens.0.saturating_sub(load.prefill_tokens.0);
            if total.requests == 0 {
                self.totals.remove(&load.incarnation);
            }
        }
    }
}

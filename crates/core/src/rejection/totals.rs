//! What the hub knows of servers that have announced a limit.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;

use super::Limit;
use super::Report;
use super::tracker::WINDOW;

/// How long a limit counts that gateways know from a former hub only.
const INHERITED_PERIOD: Duration = Duration::from_secs(5);

/// The counts of one server over all gateways.
#[derive(Clone, Debug, Default)]
struct Server {
    service: Option<id::Service>,
    limit: Option<Limit>,
    heard_at: Instant,
    begun: u32,
    rejected: u32,
    /// When slots expired whose requests were not reported. They may have been rejected.
    unreported: VecDeque<Instant>,
}

/// The newest announcement of each server, and the counts of all gateways.
///
/// Memory is linear in the servers that have announced a limit, times the gateways that send to them.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use curlewlift_core::clock::Instant;
/// use curlewlift_core::rejection::Limit;
/// use curlewlift_core::rejection::Report;
/// use curlewlift_core::rejection::Totals;
/// let mut totals = Totals::default();
/// let report = Report {
///     service: "chat".parse()?,
///     incarnation: "i-1".into(),
///     limit: Some(Limit(4)),
///     age: Duration::ZERO,
///     begun: 3,
///     rejected: 1,
/// };
/// totals.record(&"h-1".parse()?, &[report], Instant::default());
/// // Five requests are in flight, of which three have begun, and one was rejected.
/// assert_eq!(totals.exposure("i-1", 5), 3);
/// assert_eq!(totals.limit(&"chat".parse()?), Some(Limit(4)));
/// # Ok::<(), curlewlift_core::id::InvalidName>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Totals {
    servers: BTreeMap<Arc<str>, Server>,
    by_host: BTreeMap<id::Host, Vec<Report>>,
    /// The limits that gateways knew from a former hub, and when they said so.
    inherited: BTreeMap<id::Service, (Limit, Instant)>,
}

impl Totals {
    /// Replaces what a gateway has reported. Returns the incarnations whose counts may have changed.
    pub fn record(
        &mut self,
        host: &id::Host,
        reports: &[Report],
        now: Instant,
    ) -> BTreeSet<Arc<str>> {
        if reports.is_empty() && !self.by_host.contains_key(host) {
            return BTreeSet::new();
        }
        let mut changed = self.drop_host(host);
        for report in reports {
            let server = self.servers.entry(Arc::clone(&report.incarnation));
            let server = server.or_default();
            let heard_at = now - report.age;
            if server.service.is_none() || heard_at >= server.heard_at {
                server.service = Some(report.service.clone());
                (server.limit, server.heard_at) = (report.limit, heard_at);
            }
            server.begun = server.begun.saturating_add(report.begun);
            server.rejected = server.rejected.saturating_add(report.rejected);
            changed.insert(Arc::clone(&report.incarnation));
        }
        if !reports.is_empty() {
            self.by_host.insert(host.clone(), reports.to_vec());
        }
        self.servers.retain(|_, server| {
            let is_counted = server.begun > 0 || server.rejected > 0;
            server.limit.is_some() || is_counted || !server.unreported.is_empty()
        });
        changed
    }

    /// Drops what a gateway has reported, but not the limits that it has heard. Returns the incarnations whose counts may
    /// have changed.
    pub fn drop_host(&mut self, host: &id::Host) -> BTreeSet<Arc<str>> {
        let former = self.by_host.remove(host).unwrap_or_default();
        for report in &former {
            if let Some(server) = self.servers.get_mut(&report.incarnation) {
                server.begun = server.begun.saturating_sub(report.begun);
                server.rejected = server.rejected.saturating_sub(report.rejected);
            }
        }
        former
            .into_iter()
            .map(|report| report.incarnation)
            .collect()
    }

    /// Records that a slot expired whose request was not reported.
    pub fn record_unreported(&mut self, incarnation: &str, now: Instant) {
        if let Some(server) = self.servers.get_mut(incarnation) {
            server.unreported.push_back(now);
        }
    }

    /// Forgets unreported requests that cannot have been rejected within the last second. Returns the incarnations that
    /// had some.
    pub fn expire(&mut self, now: Instant) -> BTreeSet<Arc<str>> {
        self.inherited
            .retain(|_, (_, inherited_at)| now.since(*inherited_at) < INHERITED_PERIOD);
        let mut changed = BTreeSet::new();
        for (incarnation, server) in &mut self.servers {
            let unreported = &mut server.unreported;
            while unreported
                .pop_front_if(|at| now.since(*at) >= WINDOW)
                .is_some()
            {
                changed.insert(Arc::clone(incarnation));
            }
        }
        changed
    }

    /// Forgets servers of which `is_listed` says that they are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.servers.retain(|incarnation, _| is_listed(incarnation));
    }

    /// Returns how many requests a server could reject within a second if it rejected all that it has not begun;
    /// `in_flight` are in flight there.
    #[must_use]
    pub fn exposure(&self, incarnation: &str, in_flight: u32) -> u32 {
        let server = self.servers.get(incarnation);
        server.map_or(in_flight, |server| {
            let unreported = u32::try_from(server.unreported.len()).unwrap_or(u32::MAX);
            in_flight.saturating_sub(server.begun) + server.rejected + unreported
        })
    }

    /// Applies the limits that a gateway knows from a former hub, for as long as no response can have confirmed them.
    pub fn inherit(&mut self, limits: &[(id::Service, Limit)], now: Instant) {
        let limits = limits.iter().cloned();
        self.inherited
            .extend(limits.map(|(service, limit)| (service, (limit, now))));
    }

    /// Returns the lowest limit that a server of a service has announced. It holds for all of them, as most servers of an
    /// overloaded service announce one, and each of them is known only once it has responded.
    #[must_use]
    pub fn limit(&self, service: &id::Service) -> Option<Limit> {
        let servers = self.servers.values();
        let servers = servers.filter(|server| server.service.as_ref() == Some(service));
        let inherited = self.inherited.get(service).map(|(limit, _)| *limit);
        let announced = servers.filter_map(|server| server.limit);
        announced.chain(inherited).min()
    }

    /// Returns the services with a limit.
    #[must_use]
    pub fn limits(&self) -> Vec<(id::Service, Limit)> {
        let limited = self
            .servers
            .values()
            .filter(|server| server.limit.is_some());
        let services = limited.filter_map(|server| server.service.as_ref());
        let services: BTreeSet<_> = services.chain(self.inherited.keys()).collect();
        let limits = services.into_iter();
        let limits = limits.filter_map(|service| Some((service.clone(), self.limit(service)?)));
        limits.collect()
    }
}

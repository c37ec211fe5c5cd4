//! The leader's leases on the newest table.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id::Host;

/// Maximum length of a lease: how long an acknowledgement may wait for a gateway that has gone.
pub const MAX_LEASE: Duration = Duration::from_millis(1_500);

/// The part of a lease beyond the time between two polls: a reply may be lost or late without the lease ending.
const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// How much longer than the gateway the leader counts a lease, as clocks run at different rates.
const CLOCK_DRIFT: Duration = Duration::from_millis(15);

/// A gateway's leases and table.
#[derive(Clone, Debug, Default)]
struct Gateway {
    /// The tables that the gateway may believe to be the newest, and until when, by version.
    leases: Vec<(u64, Instant)>,
    in_effect: u64,
}

impl Gateway {
    /// Returns whether the gateway may believe at `now` that no table as new as `version` exists.
    fn may_miss(&self, version: u64, now: Instant) -> bool {
        let mut leases = self.leases.iter();
        leases.any(|(newest, end)| *newest < version && now < *end)
    }

    /// Returns whether the gateway holds a lease at `now`.
    fn has_lease(&self, now: Instant) -> bool {
        self.leases.iter().any(|(_, end)| now < *end)
    }
}

/// The leases that the leader has granted to gateways: until one ends, no table that the gateway has not heard of is
/// acknowledged.
///
/// It starts empty with each leader, and assumes that the former one granted a lease to every gateway just before.
#[derive(Clone, Debug)]
pub struct Grantor {
    gateways: BTreeMap<Host, Gateway>,
    /// When the last lease of a former leader has ended.
    former_leases_end: Instant,
}

impl Grantor {
    /// Creates the grantor of a leader that starts at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            gateways: BTreeMap::new(),
            former_leases_end: now + MAX_LEASE + CLOCK_DRIFT,
        }
    }

    /// Declares that no leader has granted a lease before.
    pub fn no_former_leases(&mut self, now: Instant) {
        self.former_leases_end = now;
    }

    /// Returns the length of a lease for a gateway whose polls wait for up to `poll_timeout`.
    #[must_use]
    pub fn lease(poll_timeout: Duration) -> Duration {
        (poll_timeout * 2 + LEASE_MARGIN).min(MAX_LEASE)
    }

    /// Records a poll of `host`, which has heard of table `newest` and has `in_effect` in effect.
    pub fn on_poll(&mut self, host: &Host, newest: u64, in_effect: u64) {
        let gateway = self.gateways.entry(host.clone()).or_default();
        gateway.leases.retain(|(version, _)| *version >= newest);
        gateway.in_effect = in_effect;
    }

    /// Records a report of `host`, which may have been sent before the last poll.
    pub fn on_report(&mut self, host: &Host, newest: u64, in_effect: u64) {
        if let Some(gateway) = self.gateways.get_mut(host) {
            gateway.leases.retain(|(version, _)| *version >= newest);
            gateway.in_effect = gateway.in_effect.max(in_effect);
        }
    }

    /// Grants `host` a lease on table `version`, from a reply sent at `now`.
    pub fn grant(&mut self, host: &Host, version: u64, lease: Duration, now: Instant) {
        // A gateway without a table denies nothing.
        if version == 0 {
            return;
        }
        let end = now + lease + CLOCK_DRIFT;
        let leases = &mut self.gateways.entry(host.clone()).or_default().leases;
        leases.retain(|(_, end)| now < *end);
        match leases.last_mut() {
            Some((last, last_end)) if *last == version => *last_end = end.max(*last_end),
            _ => leases.push((version, end)),
        }
    }

    /// Removes the gateways that `is_known` does not know and that hold no lease.
    pub fn retain(&mut self, now: Instant, is_known: impl Fn(&Host) -> bool) {
        self.gateways
            .retain(|host, gateway| gateway.has_lease(now) || is_known(host));
    }

    /// Returns whether table `version` may be acknowledged: no gateway may believe that an older one is the newest.
    #[must_use]
    pub fn is_announced(&self, version: u64, now: Instant) -> bool {
        let mut gateways = self.gateways.values();
        now >= self.former_leases_end && !gateways.any(|gateway| gateway.may_miss(version, now))
    }

    /// Returns the version of the table in effect at the gateway on `host`, if that has polled.
    #[must_use]
    pub fn in_effect(&self, host: &Host) -> Option<u64> {
        self.gateways.get(host).map(|gateway| gateway.in_effect)
    }

    /// Returns how many gateways hold a lease, and how many of those do not have table `version` in effect.
    #[must_use]
    pub fn count_missing(&self, version: u64, now: Instant) -> (usize, usize) {
        let gateways = self.gateways.values();
        let in_touch = gateways.filter(|gateway| gateway.has_lease(now));
        let (mut total, mut missing) = (0, 0);
        for gateway in in_touch {
            total += 1;
            missing += usize::from(gateway.in_effect < version);
        }
        (total, missing)
    }

    /// Returns the gateways that hold a lease and have table `version`, or a newer one, in effect.
    pub fn holders(&self, version: u64, now: Instant) -> impl Iterator<Item = &Host> {
        let gateways = self.gateways.iter();
        let holders = gateways
            .filter(move |(_, gateway)| gateway.in_effect >= version && gateway.has_lease(now));
        holders.map(|(host, _)| host)
    }
}

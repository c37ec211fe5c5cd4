//! The notices by which gateways that stop tell others not to send callers to them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;

use super::Gateway;
use super::Membership;

/// For how long a notice is kept at least: a membership that was sent before the hub knew of the stop may arrive later.
const MIN_RETENTION: Duration = Duration::from_mins(1);

/// The maximum number of notices that are kept.
const MAX_NOTICES: usize = 4_096;

/// States that a gateway stops. It concerns one process: the next one on the same host has another incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StopNotice {
    /// The gateway's address for callers.
    pub callers: SocketAddr,
    /// The incarnation of its process.
    pub incarnation: u64,
}

impl StopNotice {
    /// Returns whether the notice concerns this process of a gateway.
    #[must_use]
    pub fn concerns(&self, gateway: &Gateway) -> bool {
        gateway.stop_notice() == *self
    }
}

/// The gateways that are known to stop.
///
/// Notices may arrive late, repeatedly and in any order. They are never revoked: a process that stops does not become
/// available again.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use curlewlift_core::clock::Instant;
/// use curlewlift_core::gateway::Gateway;
/// use curlewlift_core::gateway::StopNotices;
/// let gateway = Gateway {
///     hall: Arc::from("a"),
///     callers: "10.0.0.1:80".parse()?,
///     tunnels: None,
///     incarnation: 1,
/// };
/// let mut notices = StopNotices::default();
/// assert!(notices.record(gateway.stop_notice(), Instant::default()));
/// assert!(notices.is_stopping(&gateway));
/// let restarted = Gateway { incarnation: 2, ..gateway };
/// assert!(!notices.is_stopping(&restarted));
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct StopNotices {
    /// The notices, with the time at which each was first received.
    received: BTreeMap<StopNotice, Instant>,
}

impl StopNotices {
    /// Records a notice that is received at `now`; returns whether it is new.
    pub fn record(&mut self, notice: StopNotice, now: Instant) -> bool {
        if self.received.contains_key(&notice) {
            return false;
        }
        if self.received.len() >= MAX_NOTICES {
            let oldest = self.received.iter().min_by_key(|(_, received)| **received);
            let oldest = oldest.map(|(notice, _)| *notice);
            self.received.retain(|notice, _| Some(*notice) != oldest);
        }
        self.received.insert(notice, now);
        true
    }

    /// Returns whether a gateway has stated that it stops.
    #[must_use]
    pub fn is_stopping(&self, gateway: &Gateway) -> bool {
        self.received.contains_key(&gateway.stop_notice())
    }

    /// Drops old notices of gateways that are not in `membership`.
    ///
    /// Without a hub the membership does not change, so a notice of a member is kept for any time.
    pub fn retain_members(&mut self, membership: &Membership, now: Instant) {
        self.received.retain(|notice, received| {
            now.since(*received) < MIN_RETENTION || membership.has(*notice)
        });
    }
}

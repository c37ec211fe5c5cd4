//! Which reads of a document a host with a narrow link redirects to the leader.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use crate::clock::Instant;

/// The longest time that sending a document over this host's own link may take if it is not redirected.
const MAX_TRANSFER_TIME: Duration = Duration::from_millis(250);

/// How many times wider than this host's link the leader's must be.
const MIN_LINK_RATIO: f64 = 2.0;

/// How long after it was redirected a caller that asks here again is taken to have failed to reach the leader.
const RETURN_TIME: Duration = Duration::from_secs(10);

/// Number of redirected callers that are remembered.
const MAX_CALLERS: usize = 64;

/// A response that can be sent over this host's link, or over the leader's.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Transfer {
    /// Its size in bytes.
    pub bytes: usize,
    /// The rate of this host's link in bytes per second; 0 if it is unknown.
    pub own_link: f64,
    /// The rate of the leader's link in bytes per second; 0 if it is unknown.
    pub leader_link: f64,
}

/// The callers that were redirected to the leader.
///
/// A caller that comes back may reach this host, but not the leader. It is served here, if slowly.
///
/// # Examples
///
/// ```
/// use curlewlift_core::clock::Instant;
/// use curlewlift_core::publication::Redirects;
/// use curlewlift_core::publication::Transfer;
/// let mut redirects = Redirects::default();
/// let caller = [10, 0, 0, 9].into();
/// let transfer = Transfer {
///     bytes: 3_000_000,
///     own_link: 1_250_000.0,
///     leader_link: 12_500_000.0,
/// };
/// let now = Instant::default();
/// assert!(redirects.redirect(caller, transfer, now));
/// assert!(!redirects.redirect(caller, transfer, now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Redirects {
    redirected_at: BTreeMap<IpAddr, Instant>,
}

impl Redirects {
    /// Whether to redirect `caller` to the leader.
    pub fn redirect(&mut self, caller: IpAddr, transfer: Transfer, now: Instant) -> bool {
        self.redirected_at
            .retain(|_, at| now.since(*at) < RETURN_TIME);
        if !transfer.is_faster_from_leader() || self.redirected_at.remove(&caller).is_some() {
            return false;
        }
        if self.redirected_at.len() >= MAX_CALLERS {
            let oldest = self.redirected_at.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(caller, _)| *caller);
            oldest.map(|oldest| self.redirected_at.remove(&oldest));
        }
        self.redirected_at.insert(caller, now);
        true
    }
}

impl Transfer {
    fn is_faster_from_leader(self) -> bool {
        #[allow(clippy::cast_precision_loss)]
        let bytes = self.bytes as f64;
        self.own_link > 0.0
            && bytes > self.own_link * MAX_TRANSFER_TIME.as_secs_f64()
            && self.leader_link >= self.own_link * MIN_LINK_RATIO
    }
}

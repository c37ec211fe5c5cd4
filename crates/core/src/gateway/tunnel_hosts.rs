//! The choice of the gateway that tunnels a connection to a backend server.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::clock::Instant;

use super::Membership;
use super::StopNotices;

/// How long a gateway is not asked for tunnels after it could not open one.
const AVOIDANCE: Duration = Duration::from_millis(500);

/// How many gateways are asked for one connection.
const MAX_CANDIDATES: usize = 3;

/// The gateways that could not open a tunnel lately.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use curlewlift_core::clock::Instant;
/// use curlewlift_core::gateway::Gateway;
/// use curlewlift_core::gateway::Membership;
/// use curlewlift_core::gateway::StopNotices;
/// use curlewlift_core::gateway::TunnelHosts;
/// let now = Instant::default();
/// let tunnels = "10.0.0.1:7601".parse()?;
/// let gateway = Gateway {
///     hall: Arc::from("a"),
///     callers: "10.0.0.1:80".parse()?,
///     tunnels: Some(tunnels),
///     incarnation: 1,
/// };
/// let membership = Membership::new(vec![gateway]);
/// let own = "10.0.0.2:80".parse()?;
/// let stopping = StopNotices::default();
/// let mut hosts = TunnelHosts::default();
/// let chosen = hosts.choose(&membership, &stopping, own, None, now, &mut rand::rng());
/// assert_eq!(chosen, [tunnels]);
/// hosts.record_failure(tunnels, now);
/// let chosen = hosts.choose(&membership, &stopping, own, None, now, &mut rand::rng());
/// assert!(chosen.is_empty());
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct TunnelHosts {
    avoid_until: HashMap<SocketAddr, Instant>,
}

impl TunnelHosts {
    /// Records that a gateway could not open a tunnel.
    pub fn record_failure(&mut self, tunnels: SocketAddr, now: Instant) {
        self.avoid_until.retain(|_, until| now < *until);
        self.avoid_until.insert(tunnels, now + AVOIDANCE);
    }

    /// Returns the gateways to ask for a tunnel, in random order, so that hosts that lose their links at the same time do
    /// not all ask the same one. `own` is the callers' address of the gateway that asks. A request that must stay in some
    /// data halls goes through no other one, and none goes through a gateway that is `stopping`.
    #[must_use]
    pub fn choose(
        &self,
        membership: &Membership,
        stopping: &StopNotices,
        own: SocketAddr,
        allowed_halls: Option<&[Arc<str>]>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let others = membership.gateways.iter();
        let others = others.filter(|other| {
            let is_allowed = allowed_halls.is_none_or(|halls| halls.contains(&other.hall));
            is_allowed && other.callers != own && !stopping.is_stopping(other)
        });
        let others = others.filter_map(|other| other.tunnels);
        let mut candidates: Vec<_> = others
            .filter(|tunnels| {
                let until = self.avoid_until.get(tunnels);
                until.is_none_or(|until| *until <= now)
            })
            .collect();
        let (chosen, _) = candidates.partial_shuffle(random, MAX_CANDIDATES);
        chosen.to_vec()
    }
}

//! How many requests a second servers take while they are cold.

use super::Rate;

/// What more than its rate a cold server bears, as a deployment says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slack {
    /// By how much its rate may be exceeded, as a factor of 1 or more.
    pub factor: f64,
    /// How many requests in a second it bears on top.
    pub extra_requests: f64,
}

impl Default for Slack {
    fn default() -> Self {
        Self {
            factor: 1.0,
            extra_requests: 0.0,
        }
    }
}

/// How fast an account fills, and how much it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Flow {
    /// In requests a second.
    pub(super) rate: f64,
    /// In requests.
    pub(super) depth: f64,
}

impl Flow {
    /// What keeps within both.
    pub(super) fn and(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            depth: self.depth.min(other.depth),
        }
    }
}

/// How many requests the servers of a service get whose caches are cold for a while after a start.
///
/// A server turns cold before the list says so, and what it got in the last second counts towards its bound. So each
/// server of such a service has an account at all times: in any second it gets no more than a cold one bears, and no
/// more than the rate of a cold one as soon as it is known to be cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    cold: Flow,
    warm: Flow,
}

/// The part of what a second may have on top of the rate that may go out at once; the rest is for requests that are
/// sent a little later than they were granted.
const AT_ONCE: f64 = 0.5;

impl Warmup {
    /// That of servers which take `rate` requests a second while they are cold.
    #[must_use]
    pub fn new(rate: Rate, slack: Slack) -> Self {
        let rate = rate.as_f64();
        let depth = (slack.extra_requests * AT_ONCE).max(1.0);
        let most = rate * slack.factor;
        let within = (most + slack.extra_requests - depth).max(0.0);
        let flow = |rate: f64| Flow {
            rate: rate.min(within),
            depth,
        };
        Self {
            cold: flow(rate),
            warm: flow(most),
        }
    }

    pub(super) fn flow(&self, cold: bool) -> Flow {
        if cold { self.cold } else { self.warm }
    }
}

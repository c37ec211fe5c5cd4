//! How many requests per second a server accepts while its caches are cold.

use super::Rate;

/// By how much the rate of a cold server may be exceeded, as configured for the deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slack {
    /// The allowed rate as a multiple of the configured one, at least 1.
    pub factor: f64,
    /// The number of requests allowed in any second in addition.
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

/// How fast a token bucket fills, and how much it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct BucketParams {
    /// In requests per second.
    pub(super) rate: f64,
    /// In requests.
    pub(super) burst: f64,
}

impl BucketParams {
    /// The parameters that stay within both limits.
    pub(super) fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }
}

/// The rates of a service's servers where those that have just started have cold caches and accept less.
///
/// A server turns cold before the server list says so, and what it got in the last second counts towards its limit. So
/// every server of such a service has a bucket at all times. In any second a server gets no more than a cold one
/// tolerates, and only the rate of a cold one as soon as it is known to be cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    cold: BucketParams,
    warm: BucketParams,
}

/// The share of [`Slack::extra_requests`] that may be sent at once. The rest is left for requests that are sent a
/// little later than they were granted.
const BURST_SHARE: f64 = 0.5;

impl Warmup {
    /// Creates the limits for servers that accept `rate` requests per second while they are cold.
    #[must_use]
    pub fn new(rate: Rate, slack: Slack) -> Self {
        let rate = rate.as_f64();
        let burst = (slack.extra_requests * BURST_SHARE).max(1.0);
        let allowed_rate = rate * slack.factor;
        let max_rate = (allowed_rate + slack.extra_requests - burst).max(0.0);
        let params = |rate: f64| BucketParams {
            rate: rate.min(max_rate),
            burst,
        };
        Self {
            cold: params(rate),
            warm: params(allowed_rate),
        }
    }

    pub(super) fn bucket_params(&self, cold: bool) -> BucketParams {
        if cold { self.cold } else { self.warm }
    }
}

//! Token buckets of servers that have announced a rate limit or may be cold.

use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Instant;
use crate::gateway::Server;
use crate::quota::Bucket;

use super::Key;
use super::Limit;
use super::Warmup;
use super::warmup::BucketParams;

/// The lowest rate at which a server gets requests, in requests per second, whatever limit it announces: only a
/// response can tell that the limit is gone.
const MIN_RATE: f64 = 0.2;

/// The share of one second's requests that a bucket holds. Several slots are granted in one scan, and what a bucket
/// gained between two scans must not be lost.
const BURST_SECONDS: f64 = 0.25;

/// The limit of one incarnation of a server.
#[derive(Clone, Copy, Debug)]
struct IncarnationLimit {
    rate: f64,
    /// Whether a response to a slot granted by this limiter has announced it.
    confirmed: bool,
    /// Whether a slot has been granted since the limit became known.
    is_probed: bool,
}

impl IncarnationLimit {
    /// The rate at which the server's bucket fills.
    ///
    /// An unconfirmed limit may be out of date, and far above what the server announces by now. Until a response to a
    /// slot granted here confirms it, the server gets one slot, and then the minimum rate.
    fn fill_rate(self) -> f64 {
        if self.confirmed || !self.is_probed {
            self.rate
        } else {
            MIN_RATE
        }
    }

    /// How many requests may be sent at once.
    fn burst(self) -> f64 {
        if self.confirmed {
            (self.rate * BURST_SECONDS).max(1.0)
        } else {
            1.0
        }
    }

    fn bucket_params(self) -> BucketParams {
        BucketParams {
            rate: self.fill_rate(),
            burst: self.burst(),
        }
    }
}

/// The token bucket of one server, shared by all its incarnations: a server list that alternates between two of them
/// must not double the rate.
#[derive(Clone, Debug)]
struct ServerBucket {
    limits: HashMap<Arc<str>, IncarnationLimit>,
    /// Filled only when a slot is requested, at the rate of the incarnation that it is requested for. Filling it at the
    /// rate of a former incarnation could exceed that.
    bucket: Bucket,
}

impl ServerBucket {
    /// Creates a bucket that is empty at `now`.
    fn new(now: Instant) -> Self {
        Self {
            limits: HashMap::new(),
            bucket: Bucket::new(0.0, now),
        }
    }
}

/// Limits the rate of requests, over all gateways, to servers that have announced a limit or may be cold.
///
/// The hub keeps one and takes a token before it grants a slot: in any period a server gets at most its rate times the
/// period plus one burst. Buckets start empty, because a new hub does not know what its predecessor granted; so
/// successive hubs together grant no more than one would. Without the hub nothing is granted
/// ([`RateLimiter::closed`]).
#[derive(Clone, Debug)]
pub struct RateLimiter {
    /// By server name.
    servers: HashMap<Arc<str>, ServerBucket>,
    /// Whether slots at limited servers are granted here.
    is_granting: bool,
    /// The rates of servers that may be cold, and when they were first set; `None` where no service limits them.
    warmup: Option<(Warmup, Instant)>,
}

impl RateLimiter {
    /// Creates the limiter of the hub, which grants slots for all gateways.
    #[must_use]
    pub fn granting() -> Self {
        Self {
            servers: HashMap::new(),
            is_granting: true,
            warmup: None,
        }
    }

    /// Creates the limiter of a gateway, which grants no slots at limited servers by itself.
    ///
    /// Split among all gateways, most limits would be less than one request each, and every gateway would need a burst
    /// of at least one.
    #[must_use]
    pub fn closed() -> Self {
        Self {
            servers: HashMap::new(),
            is_granting: false,
            warmup: None,
        }
    }

    /// Sets the announced limit of a server incarnation, or removes it.
    pub fn set_limit(&mut self, key: &Key, limit: Option<&Limit>, now: Instant) {
        let server = self.servers.entry(Arc::clone(&key.name));
        let server = server.or_insert_with(|| ServerBucket::new(now));
        let previous = server.limits.remove(&key.incarnation);
        if let Some(limit) = limit {
            let limit = IncarnationLimit {
                rate: limit.rate.as_f64().max(MIN_RATE),
                confirmed: limit.confirmed,
                is_probed: previous.is_some_and(|previous| previous.is_probed),
            };
            let incarnation = Arc::clone(&key.incarnation);
            server.limits.insert(incarnation, limit);
        }
        if server.limits.is_empty() && self.warmup.is_none() {
            self.servers.remove(&key.name);
        }
    }

    /// Sets the rates of servers that may be cold; `None` lifts them.
    pub fn set_warmup(&mut self, warmup: Option<Warmup>, now: Instant) {
        let since = self.warmup.map_or(now, |(_, since)| since);
        self.warmup = warmup.map(|warmup| (warmup, since));
    }

    /// Drops the buckets of servers that are no longer listed and have no announced limit.
    pub fn retain_servers(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.servers
            .retain(|name, server| !server.limits.is_empty() || is_listed(name));
    }

    /// Returns whether no server is limited.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty() && self.warmup.is_none()
    }

    /// Returns the announced rate of a server in requests per second; `None` if it has announced no limit.
    #[must_use]
    pub fn rate(&self, server: &Server) -> Option<f64> {
        let bucket = self.servers.get(&server.name)?;
        let limit = bucket.limits.get(&server.incarnation)?;
        Some(limit.rate)
    }

    /// The announced limit of a server, if there is one.
    fn announced_limit(&self, server: &Server) -> Option<IncarnationLimit> {
        let bucket = self.servers.get(&server.name)?;
        bucket.limits.get(&server.incarnation).copied()
    }

    /// The effective limit of a server; `None` if it has none.
    fn bucket_params(&self, server: &Server) -> Option<BucketParams> {
        let announced = self
            .announced_limit(server)
            .map(IncarnationLimit::bucket_params);
        let warmup = self
            .warmup
            .map(|(warmup, _)| warmup.bucket_params(server.cold));
        match (announced, warmup) {
            (Some(announced), Some(warmup)) => Some(announced.min(warmup)),
            (announced, warmup) => announced.or(warmup),
        }
    }

    /// The bucket of a server as of the last acquired token.
    fn bucket(&self, server: &Server) -> Option<Bucket> {
        let known = self.servers.get(&server.name);
        let new = self.warmup.map(|(_, since)| Bucket::new(0.0, since));
        known.map(|known| known.bucket).or(new)
    }

    /// Returns whether a slot at a server may be granted at `now`.
    #[must_use]
    pub fn admits(&self, server: &Server, now: Instant) -> bool {
        let (Some(params), Some(mut bucket)) = (self.bucket_params(server), self.bucket(server))
        else {
            return true;
        };
        if !self.is_granting {
            return self.announced_limit(server).is_none() && !server.cold;
        }
        bucket.fill(params.rate, params.burst, now) >= 1.0
    }

    /// Takes a token for a slot at a server that [`RateLimiter::admits`] one; returns whether the server has an
    /// announced limit.
    pub fn acquire(&mut self, server: &Server, now: Instant) -> bool {
        let (Some(params), Some(mut bucket)) = (self.bucket_params(server), self.bucket(server))
        else {
            return false;
        };
        bucket.fill(params.rate, params.burst, now);
        bucket.charge(1.0);
        let known = self.servers.entry(Arc::clone(&server.name));
        let known = known.or_insert_with(|| ServerBucket::new(now));
        known.bucket = bucket;
        let limit = known.limits.get_mut(&server.incarnation);
        limit.is_some_and(|limit| {
            limit.is_probed = true;
            true
        })
    }
}

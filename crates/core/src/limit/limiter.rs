//! How many requests servers may still get that have named a limit, or may be cold.

use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Instant;
use crate::gateway::Server;
use crate::quota::Bucket;

use super::Key;
use super::Limit;
use super::Warmup;
use super::warmup::Flow;

/// The least that a server gets, in requests a second, whatever it names: that it names no limit any more is heard
/// from its answers only.
const LEAST: f64 = 0.2;

/// The part of a second's requests that may go out at once: several places are given in one look, and what was
/// earned between two looks must not be lost.
const AT_ONCE: f64 = 0.25;

/// What one incarnation takes.
#[derive(Clone, Copy, Debug)]
struct Pace {
    named: f64,
    /// Whether an answer to a place that was given here has named it.
    confirmed: bool,
    /// Whether one was given since it is known.
    tried: bool,
}

impl Pace {
    /// At what rate its account fills.
    ///
    /// What others told of a limit may be long out of date, and far above what the server names by now. Until an answer
    /// to a place that was given here says what holds, it gets one place, and the least after that.
    fn rate(self) -> f64 {
        if self.confirmed || !self.tried {
            self.named
        } else {
            LEAST
        }
    }

    /// How many may go out at once.
    fn depth(self) -> f64 {
        if self.confirmed {
            (self.named * AT_ONCE).max(1.0)
        } else {
            1.0
        }
    }

    fn flow(self) -> Flow {
        Flow {
            rate: self.rate(),
            depth: self.depth(),
        }
    }
}

/// What one server may still get, in whichever of its lives: a list that goes back and forth between two must not
/// double it.
#[derive(Clone, Debug)]
struct Account {
    paces: HashMap<Arc<str>, Pace>,
    /// Filled by the pace of the life that a place is wanted at, and only then: by what a former life took it would fill
    /// beyond that.
    bucket: Bucket,
}

impl Account {
    /// One that holds nothing at `now`.
    fn new(now: Instant) -> Self {
        Self {
            paces: HashMap::new(),
            bucket: Bucket::new(0.0, now),
        }
    }
}

/// How many requests servers may still get that have named a limit, or may be cold, over all gateways.
///
/// One is kept by whoever gives out places, and each place is drawn before it is given: in any time a server gets no
/// more than it names, and what it holds at once. An account begins empty, as a hub does not know what the one before
/// it gave: so all hubs one after the other give no more than one would. Without the hub's word nothing is drawn
/// ([`RateLimiter::closed`]).
#[derive(Clone, Debug)]
pub struct RateLimiter {
    /// By what servers call themselves.
    accounts: HashMap<Arc<str>, Account>,
    /// Whether places are drawn here.
    is_granting: bool,
    /// What the servers get that may be cold, and since when that is kept; none where there are none.
    warmup: Option<(Warmup, Instant)>,
}

impl RateLimiter {
    /// The ledger of whoever gives out places for all.
    #[must_use]
    pub fn granting() -> Self {
        Self {
            accounts: HashMap::new(),
            is_granting: true,
            warmup: None,
        }
    }

    /// The ledger of a gateway, which gives nothing at servers with a limit by its own choice.
    ///
    /// A part for each gateway would be less than a request for most limits, and each would have to hold a whole one.
    #[must_use]
    pub fn closed() -> Self {
        Self {
            accounts: HashMap::new(),
            is_granting: false,
            warmup: None,
        }
    }

    /// A server has named its limit, or names none any more.
    pub fn set_limit(&mut self, key: &Key, limit: Option<&Limit>, now: Instant) {
        let account = self.accounts.entry(Arc::clone(&key.name));
        let account = account.or_insert_with(|| Account::new(now));
        let former = account.paces.remove(&key.incarnation);
        if let Some(limit) = limit {
            let pace = Pace {
                named: limit.rate.as_f64().max(LEAST),
                confirmed: limit.confirmed,
                tried: former.is_some_and(|former| former.tried),
            };
            let incarnation = Arc::clone(&key.incarnation);
            account.paces.insert(incarnation, pace);
        }
        if account.paces.is_empty() && self.warmup.is_none() {
            self.accounts.remove(&key.name);
        }
    }

    /// Servers may be cold at times, and get no more than this; none where that makes no difference.
    pub fn set_warmup(&mut self, warmup: Option<Warmup>, now: Instant) {
        let since = self.warmup.map_or(now, |(_, since)| since);
        self.warmup = warmup.map(|warmup| (warmup, since));
    }

    /// Forgets what servers got that are gone.
    pub fn retain_servers(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.accounts
            .retain(|name, account| !account.paces.is_empty() || is_listed(name));
    }

    /// Whether no server has a limit here.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty() && self.warmup.is_none()
    }

    /// How many requests a second a server takes; none where it has named no limit.
    #[must_use]
    pub fn rate(&self, server: &Server) -> Option<f64> {
        let account = self.accounts.get(&server.name)?;
        let pace = account.paces.get(&server.incarnation)?;
        Some(pace.named)
    }

    /// What a server has named, where it has.
    fn named(&self, server: &Server) -> Option<Pace> {
        let account = self.accounts.get(&server.name)?;
        account.paces.get(&server.incarnation).copied()
    }

    /// What a server takes; none where it has no limit.
    fn flow(&self, server: &Server) -> Option<Flow> {
        let named = self.named(server).map(Pace::flow);
        let warmup = self.warmup.map(|(warmup, _)| warmup.flow(server.cold));
        match (named, warmup) {
            (Some(named), Some(warmup)) => Some(named.and(warmup)),
            (named, warmup) => named.or(warmup),
        }
    }

    /// The account of a server, as it was when it was last drawn from.
    fn bucket(&self, server: &Server) -> Option<Bucket> {
        let account = self.accounts.get(&server.name);
        let since = self.warmup.map(|(_, since)| Bucket::new(0.0, since));
        account.map(|account| account.bucket).or(since)
    }

    /// Whether a request may be given a place at a server at `now`.
    #[must_use]
    pub fn admits(&self, server: &Server, now: Instant) -> bool {
        let (Some(flow), Some(mut bucket)) = (self.flow(server), self.bucket(server)) else {
            return true;
        };
        if !self.is_granting {
            return self.named(server).is_none() && !server.cold;
        }
        bucket.fill(flow.rate, flow.depth, now) >= 1.0
    }

    /// Draws a place at a server that admits one; whether the server has named a limit that it was drawn from.
    pub fn acquire(&mut self, server: &Server, now: Instant) -> bool {
        let (Some(flow), Some(mut bucket)) = (self.flow(server), self.bucket(server)) else {
            return false;
        };
        bucket.fill(flow.rate, flow.depth, now);
        bucket.charge(1.0);
        let account = self.accounts.entry(Arc::clone(&server.name));
        let account = account.or_insert_with(|| Account::new(now));
        account.bucket = bucket;
        let pace = account.paces.get_mut(&server.incarnation);
        pace.is_some_and(|pace| {
            pace.tried = true;
            true
        })
    }
}

//! The backend servers of a service, indexed so that the best one is found without a scan of all.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::unit::Tokens;

use super::Pick;
use super::Prefix;
use super::Spec;
use super::TimeEstimate;
use super::Tuning;
use super::Work;
use super::prefix::CachedPrefixes;
use super::server::Server;
use super::speed::Speed;
use super::speed::step_to_rate;

/// A class of equivalent servers: same data hall and speed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ServerClass {
    hall: id::Hall,
    speed: Speed,
}

/// The available servers of a class, as pairs of backlog in microseconds and server index.
type ReadyOrder = BTreeSet<(u64, usize)>;

/// The backend servers of one service.
///
/// Picking takes time linear in the classes (halls times speeds), not in the servers, and does not
/// allocate: the name of the picked server is reference-counted. A change of one server takes
/// logarithmic time.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    tuning: Tuning,
    servers: Vec<Server>,
    index_by_name: HashMap<id::Server, usize>,
    /// For each server, its class and its key in `available`; `None` if it is not available.
    order_keys: Vec<Option<(ServerClass, u64)>>,
    /// Live servers with a free slot and a short backlog, by class.
    available: BTreeMap<ServerClass, ReadyOrder>,
    cached_prefixes: CachedPrefixes,
    /// Number of live servers by speed.
    live_by_speed: BTreeMap<Speed, usize>,
    /// Number of live servers.
    live: usize,
}

/// # Servers
impl Fleet {
    /// Creates a fleet without servers.
    #[must_use]
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            ..Self::default()
        }
    }

    /// The parameters of its choices.
    #[must_use]
    pub fn get_tuning(&self) -> &Tuning {
        &self.tuning
    }

    /// Sets which servers accept new requests. Requests that run on other servers continue there.
    ///
    /// A server that returns under the same name keeps its measured rates, but its cache is assumed to
    /// be empty.
    pub fn set_servers(&mut self, specs: Vec<Spec>, now: Instant) {
        let mut retained = vec![false; self.servers.len()];
        for spec in specs {
            if let Some(&index) = self.index_by_name.get(&spec.name) {
                let server = &mut self.servers[index];
                if !server.live {
                    self.cached_prefixes.remove_server(index);
                    server.live = true;
                }
                server.spec = spec;
                retained[index] = true;
                self.reindex(index);
            } else {
                let index = self.servers.len();
                self.index_by_name.insert(spec.name.clone(), index);
                self.servers.push(Server::new(spec, now));
                self.order_keys.push(None);
                retained.push(true);
                self.reindex(index);
            }
        }
        self.live = retained.iter().filter(|retained| **retained).count();
        for (index, retained) in retained.into_iter().enumerate() {
            if !retained {
                self.servers[index].live = false;
                self.reindex(index);
            }
        }
    }

    /// The index of the server `name`.
    #[must_use]
    pub fn index_of(&self, name: &id::Server) -> Option<usize> {
        self.index_by_name.get(name).copied()
    }

    /// The number of servers that accept new requests.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.live
    }

    /// The number of requests that run on all servers together.
    #[must_use]
    pub fn running_count(&self) -> u32 {
        self.servers
            .iter()
            .map(|server| server.running_requests)
            .sum()
    }

    /// Updates the position of a server in the index after a change of its state.
    fn reindex(&mut self, index: usize) {
        self.update_speed_count(index);
        if let Some((class, key)) = self.order_keys[index].take()
            && let Some(order) = self.available.get_mut(&class)
        {
            order.remove(&(key, index));
            if order.is_empty() {
                self.available.remove(&class);
            }
        }
        let server = &self.servers[index];
        // Requests in our queue can still be reordered, those waiting inside a server can't: so a
        // server with a long backlog gets no more of them.
        let full = server.running_requests >= server.spec.slots
            || server.backlog_seconds() > self.tuning.max_backlog_seconds;
        if !server.live || full {
            return;
        }
        let class = ServerClass {
            hall: server.spec.hall.clone(),
            speed: server.speed(),
        };
        let key = micros(server.backlog_seconds());
        let order = self.available.entry(class.clone()).or_default();
        order.insert((key, index));
        self.order_keys[index] = Some((class, key));
    }
}

/// # Speeds
impl Fleet {
    /// Counts a server under its current speed.
    fn update_speed_count(&mut self, index: usize) {
        let server = &mut self.servers[index];
        let speed = server.live.then(|| server.speed());
        let previous = std::mem::replace(&mut server.counted_speed, speed);
        if previous == speed {
            return;
        }
        if let Some(speed) = speed {
            *self.live_by_speed.entry(speed).or_insert(0) += 1;
        }
        let Some(previous) = previous else { return };
        let remaining = self.live_by_speed.entry(previous).or_insert(1);
        *remaining -= 1;
        if *remaining == 0 {
            self.live_by_speed.remove(&previous);
        }
    }
}

/// # Picking a server
impl Fleet {
    /// The available server on which `work` is expected to finish first, if there is one.
    #[must_use]
    pub fn pick(&self, work: &Work) -> Option<Pick> {
        let mut best: Option<(f64, Pick)> = None;
        for order in self.available.values() {
            self.consider_first(order, work, &mut best);
        }
        for prefix in &work.prefixes {
            for &index in self.cached_prefixes.holders(*prefix) {
                if self.order_keys[index].is_some() {
                    self.consider(index, prefix.length, work, &mut best);
                }
            }
        }
        best.map(|pair| pair.1)
    }

    /// Replaces `best` by the first server of `order` if that is expected to finish earlier.
    fn consider_first(&self, order: &ReadyOrder, work: &Work, best: &mut Option<(f64, Pick)>) {
        if let Some(&(_, index)) = order.first() {
            self.consider(index, Tokens(0), work, best);
        }
    }

    /// Replaces `best` by the server at `index`, with `cached` prompt tokens cached there, if that is
    /// expected to finish earlier.
    fn consider(&self, index: usize, cached: Tokens, work: &Work, best: &mut Option<(f64, Pick)>) {
        let server = &self.servers[index];
        let first = server.first_token_seconds(work.prompt.saturating_sub(cached));
        let total = first + server.decode_seconds(work.output);
        if best.as_ref().is_some_and(|current| current.0 <= total) {
            return;
        }
        let pick = Pick {
            server_index: index,
            name: server.spec.name.clone(),
            cached,
            estimate: TimeEstimate {
                first_token: seconds(first),
                total: seconds(total),
            },
        };
        *best = Some((total, pick));
    }

    /// The time in which the fastest live server would respond to `work` if it were idle.
    ///
    /// Linear in the number of distinct speeds; accurate to a tenth.
    #[must_use]
    pub fn fastest_estimate(&self, work: &Work) -> Option<TimeEstimate> {
        let longest = work
            .prefixes
            .first()
            .map_or(Tokens(0), |prefix| prefix.length);
        let prompt = work.prompt.saturating_sub(longest).as_f64();
        let output = work.output.as_f64();
        let times = self.live_by_speed.keys().map(|speed| {
            let first = prompt / step_to_rate(speed.prefill);
            (first + output / step_to_rate(speed.decode), first)
        });
        let best = times.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(total, first)| TimeEstimate {
            first_token: seconds(first),
            total: seconds(total),
        })
    }
}

/// # Observations
impl Fleet {
    /// Reports that a request was sent to the server of `pick`.
    pub fn on_sent(&mut self, pick: &Pick, work: &Work, now: Instant) {
        let server = &mut self.servers[pick.server_index];
        if server.backlog == Tokens(0) {
            server.last_progress = now;
        }
        server.running_requests += 1;
        server.backlog += work.prompt.saturating_sub(pick.cached);
        for prefix in work
            .prefixes
            .iter()
            .filter(|_| self.tuning.track_cached_prefixes)
        {
            self.cached_prefixes.add(*prefix, pick.server_index);
        }
        self.reindex(pick.server_index);
    }

    /// Reports that the first token of a request came `took` after it was sent, or that the request
    /// ended without one (`None`).
    pub fn on_first_token(
        &mut self,
        pick: &Pick,
        work: &Work,
        took: Option<Duration>,
        now: Instant,
    ) {
        let server = &mut self.servers[pick.server_index];
        server.backlog = server
            .backlog
            .saturating_sub(work.prompt.saturating_sub(pick.cached));
        if let Some(took) = took.filter(|_| self.tuning.learn_speed) {
            server.on_first_token(took, pick.estimate.first_token, now);
        }
        self.reindex(pick.server_index);
    }

    /// Reports that the server at `index` generated `tokens` for one request in `took`.
    pub fn on_tokens(&mut self, index: usize, tokens: Tokens, took: Duration) {
        if self.tuning.learn_speed {
            self.servers[index].on_tokens(tokens, took);
        }
        self.reindex(index);
    }

    /// Reports that a request has ended; `cached` is how many prompt tokens the server reported as
    /// cached, if it reported that.
    pub fn on_ended(&mut self, pick: &Pick, work: &Work, cached: Option<Tokens>) {
        let server = &mut self.servers[pick.server_index];
        server.running_requests = server.running_requests.saturating_sub(1);
        if cached.is_some_and(|cached| cached < pick.cached) {
            for prefix in &work.prefixes {
                if cached.is_some_and(|cached| prefix.length > cached) {
                    self.cached_prefixes.remove(*prefix, pick.server_index);
                }
            }
            // The server has just processed this prompt, so it has its prefix cached now.
            if let Some(longest) = work.prefixes.first() {
                self.cached_prefixes.add(*longest, pick.server_index);
            }
        }
        self.reindex(pick.server_index);
    }

    /// Reports a cache event of the server `name`: it has stored `prefix`, or dropped it.
    pub fn on_cache_event(&mut self, name: &id::Server, prefix: Prefix, stored: bool) {
        let Some(index) = self.index_of(name) else {
            return;
        };
        if stored {
            self.cached_prefixes.add(prefix, index);
        } else {
            self.cached_prefixes.remove(prefix, index);
        }
    }

    /// Checks all servers for overdue first tokens; linear in the servers.
    pub fn check_overdue(&mut self, now: Instant) {
        if !self.tuning.learn_speed {
            return;
        }
        for index in 0..self.servers.len() {
            let before = self.servers[index].slowdown;
            self.servers[index].check_overdue(now);
            if (self.servers[index].slowdown - before).abs() > f64::EPSILON {
                self.reindex(index);
            }
        }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

/// Converts seconds to a duration, limited to one day.
fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, 86_400.0))
}

//! The servers in an order that finds the best without looking at all.

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

/// Servers that are alike: same hall and speed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ServerClass {
    hall: id::Hall,
    speed: Speed,
}

/// The servers of a class that have a free slot, by the time until they could begin.
type ReadyOrder = BTreeSet<(u64, usize)>;

/// The backend servers of one service.
///
/// A choice costs time linear in the classes (halls times speeds), not in the servers, and does
/// not allocate but for the name's reference count; a change of one server is logarithmic.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    tuning: Tuning,
    servers: Vec<Server>,
    index_by_name: HashMap<id::Server, usize>,
    order_keys: Vec<Option<(ServerClass, u64)>>,
    /// Servers with a free slot.
    available: BTreeMap<ServerClass, ReadyOrder>,
    cached_prefixes: CachedPrefixes,
    /// Live servers by speed.
    live_by_speed: BTreeMap<Speed, usize>,
    /// Live servers.
    live: usize,
}

/// # Members
impl Fleet {
    /// A fleet without servers.
    #[must_use]
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            ..Self::default()
        }
    }

    /// The numbers behind its choices.
    #[must_use]
    pub fn get_tuning(&self) -> &Tuning {
        &self.tuning
    }

    /// Sets which servers take new work; the others keep what runs on them.
    ///
    /// A server that comes back under its name keeps its rates but not its cache.
    pub fn set_servers(&mut self, specs: Vec<Spec>, now: Instant) {
        let mut stays = vec![false; self.servers.len()];
        for spec in specs {
            if let Some(&place) = self.index_by_name.get(&spec.name) {
                let server = &mut self.servers[place];
                if !server.live {
                    self.cached_prefixes.remove_server(place);
                    server.live = true;
                }
                server.spec = spec;
                stays[place] = true;
                self.reindex(place);
            } else {
                let place = self.servers.len();
                self.index_by_name.insert(spec.name.clone(), place);
                self.servers.push(Server::new(spec, now));
                self.order_keys.push(None);
                stays.push(true);
                self.reindex(place);
            }
        }
        self.live = stays.iter().filter(|stays| **stays).count();
        for (place, stays) in stays.into_iter().enumerate() {
            if !stays {
                self.servers[place].live = false;
                self.reindex(place);
            }
        }
    }

    /// The place of the server `name`.
    #[must_use]
    pub fn index_of(&self, name: &id::Server) -> Option<usize> {
        self.index_by_name.get(name).copied()
    }

    /// How many servers take new work.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.live
    }

    /// Requests that run on all servers.
    #[must_use]
    pub fn running_count(&self) -> u32 {
        self.servers
            .iter()
            .map(|server| server.running_requests)
            .sum()
    }

    /// Puts a server where its state says, after any change of it.
    fn reindex(&mut self, place: usize) {
        self.update_speed_count(place);
        if let Some((class, key)) = self.order_keys[place].take()
            && let Some(order) = self.available.get_mut(&class)
        {
            order.remove(&(key, place));
            if order.is_empty() {
                self.available.remove(&class);
            }
        }
        let server = &self.servers[place];
        // What waits in the queue is still in its order; what waits inside a server is not.
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
        order.insert((key, place));
        self.order_keys[place] = Some((class, key));
    }
}

/// # Speeds
impl Fleet {
    /// Counts a server under the speed that it has now.
    fn update_speed_count(&mut self, place: usize) {
        let server = &mut self.servers[place];
        let speed = server.live.then(|| server.speed());
        let former = std::mem::replace(&mut server.counted_speed, speed);
        if former == speed {
            return;
        }
        if let Some(speed) = speed {
            *self.live_by_speed.entry(speed).or_insert(0) += 1;
        }
        let Some(former) = former else { return };
        let left = self.live_by_speed.entry(former).or_insert(1);
        *left -= 1;
        if *left == 0 {
            self.live_by_speed.remove(&former);
        }
    }
}

/// # Choice
impl Fleet {
    /// The server on which `work` would end first, if any has a slot for it.
    #[must_use]
    pub fn pick(&self, work: &Work) -> Option<Pick> {
        let mut best: Option<(f64, Pick)> = None;
        for order in self.available.values() {
            self.consider_first(order, work, &mut best);
        }
        for prefix in &work.prefixes {
            for &place in self.cached_prefixes.holders(*prefix) {
                if self.order_keys[place].is_some() {
                    self.consider(place, prefix.length, work, &mut best);
                }
            }
        }
        best.map(|pair| pair.1)
    }

    fn consider_first(&self, order: &ReadyOrder, work: &Work, best: &mut Option<(f64, Pick)>) {
        if let Some(&(_, place)) = order.first() {
            self.consider(place, Tokens(0), work, best);
        }
    }

    fn consider(&self, place: usize, cached: Tokens, work: &Work, best: &mut Option<(f64, Pick)>) {
        let server = &self.servers[place];
        let first = server.first_token_seconds(work.prompt.less(cached));
        let whole = first + server.decode_seconds(work.output);
        if best.as_ref().is_some_and(|known| known.0 <= whole) {
            return;
        }
        let pick = Pick {
            server_index: place,
            name: server.spec.name.clone(),
            cached,
            estimate: TimeEstimate {
                first_token: seconds(first),
                total: seconds(whole),
            },
        };
        *best = Some((whole, pick));
    }

    /// The least time in which any live server could answer `work`, if it had nothing else.
    ///
    /// Linear in the speeds that there are; right to a tenth.
    #[must_use]
    pub fn fastest_estimate(&self, work: &Work) -> Option<TimeEstimate> {
        let longest = work
            .prefixes
            .first()
            .map_or(Tokens(0), |prefix| prefix.length);
        let prompt = work.prompt.less(longest).as_f64();
        let output = work.output.as_f64();
        let times = self.live_by_speed.keys().map(|speed| {
            let first = prompt / step_to_rate(speed.prefill);
            (first + output / step_to_rate(speed.decode), first)
        });
        let best = times.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(whole, first)| TimeEstimate {
            first_token: seconds(first),
            total: seconds(whole),
        })
    }
}

/// # Evidence
impl Fleet {
    /// A request was sent to `pick`.
    pub fn on_sent(&mut self, pick: &Pick, work: &Work, now: Instant) {
        let server = &mut self.servers[pick.server_index];
        if server.backlog == Tokens(0) {
            server.last_progress = now;
        }
        server.running_requests += 1;
        server.backlog += work.prompt.less(pick.cached);
        for prefix in work
            .prefixes
            .iter()
            .filter(|_| self.tuning.track_cached_prefixes)
        {
            self.cached_prefixes.add(*prefix, pick.server_index);
        }
        self.reindex(pick.server_index);
    }

    /// Its first token came `took` after it was sent, or it ended without one (`None`).
    pub fn on_first_token(
        &mut self,
        pick: &Pick,
        work: &Work,
        took: Option<Duration>,
        now: Instant,
    ) {
        let server = &mut self.servers[pick.server_index];
        server.backlog = server.backlog.less(work.prompt.less(pick.cached));
        if let Some(took) = took.filter(|_| self.tuning.learn_speed) {
            server.on_first_token(took, pick.estimate.first_token, now);
        }
        self.reindex(pick.server_index);
    }

    /// It generated `tokens` in `took`.
    pub fn on_tokens(&mut self, place: usize, tokens: Tokens, took: Duration) {
        if self.tuning.learn_speed {
            self.servers[place].on_tokens(tokens, took);
        }
        self.reindex(place);
    }

    /// It has ended; `cached` is what the server said was cached, if it said so.
    pub fn on_ended(&mut self, pick: &Pick, work: &Work, cached: Option<Tokens>) {
        let server = &mut self.servers[pick.server_index];
        server.running_requests = server.running_requests.saturating_sub(1);
        if cached.is_some_and(|cached| cached < pick.cached) {
            for prefix in &work.prefixes {
                if cached.is_some_and(|cached| prefix.length > cached) {
                    self.cached_prefixes.remove(*prefix, pick.server_index);
                }
            }
            // What was just computed is there now, whatever was believed before.
            if let Some(longest) = work.prefixes.first() {
                self.cached_prefixes.add(*longest, pick.server_index);
            }
        }
        self.reindex(pick.server_index);
    }

    /// The server's cache events say that it holds `prefix`, or that it dropped it.
    pub fn on_cache_event(&mut self, name: &id::Server, prefix: Prefix, holds: bool) {
        let Some(place) = self.index_of(name) else {
            return;
        };
        if holds {
            self.cached_prefixes.add(prefix, place);
        } else {
            self.cached_prefixes.remove(prefix, place);
        }
    }

    /// Looks for servers whose first tokens are overdue; linear in the servers.
    pub fn check_overdue(&mut self, now: Instant) {
        if !self.tuning.learn_speed {
            return;
        }
        for place in 0..self.servers.len() {
            let before = self.servers[place].slowdown;
            self.servers[place].check_overdue(now);
            if (self.servers[place].slowdown - before).abs() > f64::EPSILON {
                self.reindex(place);
            }
        }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

/// A duration of at most a day.
fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, 86_400.0))
}

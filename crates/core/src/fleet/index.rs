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
use super::Time;
use super::Tuning;
use super::Work;
use super::prefix::Belief;
use super::server::Server;
use super::speed::Speed;
use super::speed::rate;

/// Servers that are alike: same hall and speed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    hall: id::Hall,
    speed: Speed,
}

/// The servers of a class that have a free slot, by the time until they could begin.
type Order = BTreeSet<(u64, usize)>;

/// The backend servers of one service.
///
/// A choice costs time linear in the classes (halls times speeds), not in the servers, and does
/// not allocate but for the name's reference count; a change of one server is logarithmic.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    tuning: Tuning,
    servers: Vec<Server>,
    places: HashMap<id::Server, usize>,
    keys: Vec<Option<(Class, u64)>>,
    /// Servers with a free slot.
    open: BTreeMap<Class, Order>,
    belief: Belief,
    /// Live servers by speed.
    speeds: BTreeMap<Speed, usize>,
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
    pub fn set(&mut self, specs: Vec<Spec>, now: Instant) {
        let mut stays = vec![false; self.servers.len()];
        for spec in specs {
            if let Some(&place) = self.places.get(&spec.name) {
                let server = &mut self.servers[place];
                if !server.live {
                    self.belief.forget(place);
                    server.live = true;
                }
                server.spec = spec;
                stays[place] = true;
                self.place(place);
            } else {
                let place = self.servers.len();
                self.places.insert(spec.name.clone(), place);
                self.servers.push(Server::new(spec, now));
                self.keys.push(None);
                stays.push(true);
                self.place(place);
            }
        }
        self.live = stays.iter().filter(|stays| **stays).count();
        for (place, stays) in stays.into_iter().enumerate() {
            if !stays {
                self.servers[place].live = false;
                self.place(place);
            }
        }
    }

    /// The place of the server `name`.
    #[must_use]
    pub fn find(&self, name: &id::Server) -> Option<usize> {
        self.places.get(name).copied()
    }

    /// How many servers take new work.
    #[must_use]
    pub fn live(&self) -> usize {
        self.live
    }

    /// Requests that run on all servers.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.servers.iter().map(|server| server.running).sum()
    }

    /// Puts a server where its state says, after any change of it.
    fn place(&mut self, place: usize) {
        self.count_speed(place);
        if let Some((class, key)) = self.keys[place].take()
            && let Some(order) = self.open.get_mut(&class)
        {
            order.remove(&(key, place));
            if order.is_empty() {
                self.open.remove(&class);
            }
        }
        let server = &self.servers[place];
        // What waits in the queue is still in its order; what waits inside a server is not.
        let full = server.running >= server.spec.slots || server.busy() > self.tuning.backlog;
        if !server.live || full {
            return;
        }
        let class = Class {
            hall: server.spec.hall.clone(),
            speed: server.speed(),
        };
        let key = micros(server.busy());
        let order = self.open.entry(class.clone()).or_default();
        order.insert((key, place));
        self.keys[place] = Some((class, key));
    }
}

/// # Speeds
impl Fleet {
    /// Counts a server under the speed that it has now.
    fn count_speed(&mut self, place: usize) {
        let server = &mut self.servers[place];
        let speed = server.live.then(|| server.speed());
        let former = std::mem::replace(&mut server.counted, speed);
        if former == speed {
            return;
        }
        if let Some(speed) = speed {
            *self.speeds.entry(speed).or_insert(0) += 1;
        }
        let Some(former) = former else { return };
        let left = self.speeds.entry(former).or_insert(1);
        *left -= 1;
        if *left == 0 {
            self.speeds.remove(&former);
        }
    }
}

/// # Choice
impl Fleet {
    /// The server on which `work` would end first, if any has a slot for it.
    #[must_use]
    pub fn pick(&self, work: &Work) -> Option<Pick> {
        let mut best: Option<(f64, Pick)> = None;
        for order in self.open.values() {
            self.consider_head(order, work, &mut best);
        }
        for prefix in &work.prefixes {
            for &place in self.belief.holders(*prefix) {
                if self.keys[place].is_some() {
                    self.consider(place, prefix.length, work, &mut best);
                }
            }
        }
        best.map(|pair| pair.1)
    }

    fn consider_head(&self, order: &Order, work: &Work, best: &mut Option<(f64, Pick)>) {
        if let Some(&(_, place)) = order.first() {
            self.consider(place, Tokens(0), work, best);
        }
    }

    fn consider(&self, place: usize, cached: Tokens, work: &Work, best: &mut Option<(f64, Pick)>) {
        let server = &self.servers[place];
        let first = server.first(work.prompt.less(cached));
        let whole = first + server.rest(work.output);
        if best.as_ref().is_some_and(|known| known.0 <= whole) {
            return;
        }
        let pick = Pick {
            server: place,
            name: server.spec.name.clone(),
            cached,
            time: Time {
                first: seconds(first),
                whole: seconds(whole),
            },
        };
        *best = Some((whole, pick));
    }

    /// The least time in which any live server could answer `work`, if it had nothing else.
    ///
    /// Linear in the speeds that there are; right to a tenth.
    #[must_use]
    pub fn fastest(&self, work: &Work) -> Option<Time> {
        let longest = work
            .prefixes
            .first()
            .map_or(Tokens(0), |prefix| prefix.length);
        let prompt = work.prompt.less(longest).as_f64();
        let output = work.output.as_f64();
        let times = self.speeds.keys().map(|speed| {
            let first = prompt / rate(speed.prefill);
            (first + output / rate(speed.decode), first)
        });
        let best = times.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(whole, first)| Time {
            first: seconds(first),
            whole: seconds(whole),
        })
    }
}

/// # Evidence
impl Fleet {
    /// A request was sent to `pick`.
    pub fn sent(&mut self, pick: &Pick, work: &Work, now: Instant) {
        let server = &mut self.servers[pick.server];
        if server.backlog == Tokens(0) {
            server.moved = now;
        }
        server.running += 1;
        server.backlog += work.prompt.less(pick.cached);
        for prefix in work.prefixes.iter().filter(|_| self.tuning.belief) {
            self.belief.add(*prefix, pick.server);
        }
        self.place(pick.server);
    }

    /// Its first token came `took` after it was sent, or it ended without one (`None`).
    pub fn first(&mut self, pick: &Pick, work: &Work, took: Option<Duration>, now: Instant) {
        let server = &mut self.servers[pick.server];
        server.backlog = server.backlog.less(work.prompt.less(pick.cached));
        if let Some(took) = took.filter(|_| self.tuning.learn) {
            server.on_first(took, pick.time.first, now);
        }
        self.place(pick.server);
    }

    /// It generated `tokens` in `took`.
    pub fn tokens(&mut self, place: usize, tokens: Tokens, took: Duration) {
        if self.tuning.learn {
            self.servers[place].on_tokens(tokens, took);
        }
        self.place(place);
    }

    /// It has ended; `cached` is what the server said was cached, if it said so.
    pub fn ended(&mut self, pick: &Pick, work: &Work, cached: Option<Tokens>) {
        let server = &mut self.servers[pick.server];
        server.running = server.running.saturating_sub(1);
        if cached.is_some_and(|cached| cached < pick.cached) {
            for prefix in &work.prefixes {
                if cached.is_some_and(|cached| prefix.length > cached) {
                    self.belief.remove(*prefix, pick.server);
                }
            }
            // What was just computed is there now, whatever was believed before.
            if let Some(longest) = work.prefixes.first() {
                self.belief.add(*longest, pick.server);
            }
        }
        self.place(pick.server);
    }

    /// The server's cache events say that it holds `prefix`, or that it dropped it.
    pub fn cached(&mut self, name: &id::Server, prefix: Prefix, holds: bool) {
        let Some(place) = self.find(name) else { return };
        if holds {
            self.belief.add(prefix, place);
        } else {
            self.belief.remove(prefix, place);
        }
    }

    /// Looks for servers whose first tokens are overdue; linear in the servers.
    pub fn watch(&mut self, now: Instant) {
        if !self.tuning.learn {
            return;
        }
        for place in 0..self.servers.len() {
            let before = self.servers[place].slow;
            self.servers[place].watch(now);
            if (self.servers[place].slow - before).abs() > f64::EPSILON {
                self.place(place);
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

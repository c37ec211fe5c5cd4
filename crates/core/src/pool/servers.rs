//! The pool: what is known of the backend servers of a service, and who waits for them.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::clock::Instant;
use crate::gateway::Load;
use crate::gateway::Server;
use crate::limit::Key;
use crate::limit::Ledger;
use crate::limit::Limit;
use crate::limit::Warmup;
use crate::unit::Tokens;

use super::Assignment;
use super::AttemptOutcome;
use super::Notice;
use super::Notices;
use super::Request;
use super::Ticket;
use super::Tuning;
use super::forecast::Forecast;
use super::limit_wait::LimitWait;
use super::queue::Queue;
use super::server_set::ServerSet;
use super::server_state::ServerState;
use super::trial_version::TrialVersion;

/// The backend servers of one service, and the requests that wait for one.
#[derive(Debug)]
pub struct Pool {
    pub(super) tuning: Tuning,
    pub(super) servers: ServerSet,
    /// What servers have said of themselves to this host.
    notices: Notices,
    /// What those may still get that have named a limit.
    pub(super) limits: Ledger,
    held: LimitWait,
    pub(super) waiting: Queue,
    pub(super) forecast: Forecast,
    /// The version that gets no more than so many requests.
    pub(super) trial: Option<TrialVersion>,
    next: u64,
    pub(super) random: SmallRng,
}

impl Pool {
    /// An empty pool.
    #[must_use]
    pub fn new(tuning: Tuning, seed: u64) -> Self {
        Self {
            tuning,
            servers: ServerSet::new(tuning.extra_in_flight),
            notices: Notices::default(),
            limits: Ledger::closed(),
            held: LimitWait::default(),
            waiting: Queue::default(),
            forecast: Forecast::default(),
            trial: None,
            next: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// The same, of whoever gives out the places of all gateways: servers that have named a limit get it from there.
    #[must_use]
    pub fn for_all_gateways(self) -> Self {
        Self {
            limits: Ledger::giving(),
            ..self
        }
    }
}

/// # Servers
impl Pool {
    /// Takes up a list; what is known of an incarnation that stays is kept.
    pub fn update_servers(&mut self, mut servers: Vec<Arc<Server>>) {
        for server in &mut servers {
            // A list that is older than the server's own word does not undo it.
            if self.notices.is_draining(&server.incarnation) {
                Arc::make_mut(server).leaving = true;
            }
        }
        self.servers.adopt(servers);
        if !self.limits.is_empty() {
            let names = self.servers.all().map(|known| &*known.server.name);
            let names: HashSet<_> = names.collect();
            self.limits.keep(|name| names.contains(name));
        }
    }

    /// Meets the servers of a list that is about to be taken up: another life may have said something under the
    /// name of the one before.
    pub fn inherit_notices(&mut self, servers: &[Arc<Server>], now: Instant) {
        for server in servers {
            self.notices.inherit(server, now);
        }
    }

    /// Takes up what other gateways have in flight.
    pub fn update_other_loads(&mut self, loads: &[Load]) {
        self.servers.update_all(|known| known.hear(None));
        for load in loads {
            let hear = |known: &mut ServerState| known.hear(Some(load));
            self.servers.update(&load.incarnation, hear);
        }
    }

    /// Takes up what all gateways together have in flight at one incarnation; whoever gives it out
    /// counts what is sent, so nothing is in flight from here.
    pub fn set_in_flight(&mut self, incarnation: &str, in_flight: Option<&Load>) {
        self.servers.update(incarnation, |known| {
            known.forget_own();
            known.hear(in_flight);
        });
    }

    /// The version that gets no more than some requests; none where all versions are alike.
    pub fn set_trial(&mut self, on_trial: Option<TrialVersion>) {
        self.trial = on_trial;
    }

    /// A server that it knows.
    #[must_use]
    pub fn get(&self, incarnation: &str) -> Option<&Arc<Server>> {
        self.servers.get(incarnation).map(|known| &known.server)
    }

    /// The incarnations that it knows.
    pub fn incarnations(&self) -> impl Iterator<Item = &Arc<str>> {
        self.servers.all().map(|known| &known.server.incarnation)
    }

    /// Counts a request that is sent to `server` by the word of another; false where the server is
    /// to take no new work from here.
    pub fn accept_grant(&mut self, server: &Arc<Server>, prompt: Tokens, now: Instant) -> bool {
        // Whoever gave the place may not have heard what the server told this host, or know another life of it.
        self.notices.inherit(server, now);
        if self.notices.excludes(&server.incarnation, now) {
            return false;
        }
        if !self.servers.has(&server.incarnation) {
            self.servers.add_named(Arc::clone(server));
        }
        let taken = self.servers.update(&server.incarnation, |known| {
            let takes = !known.server.leaving;
            if takes {
                known.begin(prompt);
            }
            takes
        });
        taken == Some(true)
    }

    /// The servers that are left alone at `now` by a request that has `tried` some, and for how much
    /// longer.
    pub fn avoided(
        &self,
        tried: &[Arc<str>],
        now: Instant,
    ) -> impl Iterator<Item = (Arc<str>, Duration)> {
        let may = |server: &Server| {
            let incarnation = &server.incarnation;
            !tried.contains(incarnation) && !self.notices.excludes(incarnation, now)
        };
        let all_suspect = self.all_suspect(may, now);
        let avoided = self.servers.all();
        let avoided = avoided.filter(move |known| !known.trust.is_usable(all_suspect, now));
        avoided.map(move |known| {
            let left = known.trust.avoid_for(now);
            (Arc::clone(&known.server.incarnation), left)
        })
    }

    /// For how much longer a server is left alone at `now`.
    #[must_use]
    pub fn avoid_for(&self, incarnation: &str, now: Instant) -> Duration {
        let known = self.servers.get(incarnation);
        let left = known.map_or(Duration::ZERO, |known| known.trust.avoid_for(now));
        left.max(self.notices.backoff(incarnation, now))
    }

    /// What servers have said of themselves to this host.
    #[must_use]
    pub fn get_notices(&self) -> &Notices {
        &self.notices
    }

    /// Takes note of what a server says of itself; gives what of it is new.
    pub fn record_notice(
        &mut self,
        server: &Server,
        notice: Notice,
        now: Instant,
    ) -> Option<Notice> {
        if notice == Notice::Draining {
            self.servers.update(&server.incarnation, ServerState::leave);
        }
        if let Notice::Backoff(_) = notice {
            // It may come from a life that has begun since the request was sent.
            let lives = self.servers.all().map(|known| &known.server);
            let lives = lives
                .filter(|life| life.name == server.name && life.incarnation != server.incarnation);
            for life in lives {
                self.notices
                    .record(&life.incarnation, &life.name, notice.clone(), now);
            }
        }
        let (incarnation, name) = (&server.incarnation, &server.name);
        self.notices.record(incarnation, name, notice, now)
    }

    /// A server has named its limit, or names none any more.
    pub fn set_limit(&mut self, key: &Key, limit: Option<&Limit>, now: Instant) {
        self.limits.set(key, limit, now);
    }

    /// Servers may be cold at times, and get no more than this; none where that makes no difference.
    pub fn set_warmup(&mut self, warmup: Option<Warmup>, now: Instant) {
        self.limits.set_warmup(warmup, now);
    }

    /// How many requests a second the servers that take work take together, where all have named a limit.
    #[must_use]
    pub fn total_limit_rate(&self) -> Option<f64> {
        if self.limits.is_empty() || !self.accepts_work() {
            return None;
        }
        let taking = self.servers.all().filter(|known| known.takes_work());
        let rates = taking.map(|known| self.limits.rate(&known.server));
        rates.sum()
    }

    /// For how much longer all servers that take work rest, where they do: until the first one is to be had again.
    #[must_use]
    pub fn all_backing_off_for(&self, now: Instant) -> Option<Duration> {
        let taking = self.servers.all().filter(|known| known.takes_work());
        let rests = taking.map(|known| self.notices.backoff(&known.server.incarnation, now));
        rests.min().filter(|least| !least.is_zero())
    }

    /// A host that has a request in line here is asked for rest by a server.
    pub fn add_backoff(&mut self, ticket: Ticket, incarnation: &Arc<str>, until: Instant) {
        if let Some(ask) = self.waiting.get_mut(ticket) {
            ask.backoffs.push((Arc::clone(incarnation), until));
        }
    }

    /// Takes up what an answer of a server told of its load.
    pub fn update_load(&mut self, incarnation: &str, in_flight: u32) {
        self.servers.update(incarnation, |known| {
            known.others = in_flight.saturating_sub(known.own);
        });
    }

    /// Whether it has a server that takes new work.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        self.servers.all().any(ServerState::takes_work)
    }

    /// What is in flight from here.
    pub fn loads(&self) -> impl Iterator<Item = Load> {
        let busy = self.servers.all().filter(|known| known.own > 0);
        busy.map(|known| Load {
            incarnation: Arc::clone(&known.server.incarnation),
            requests: known.own,
            reading: Tokens(known.own_reading),
        })
    }

    /// Takes note that a server has read a request's prompt, or will not.
    pub fn record_first_byte(&mut self, incarnation: &str, prompt: Tokens) {
        self.servers.update(incarnation, |known| {
            known.own_reading = known.own_reading.saturating_sub(prompt.0);
        });
    }

    /// Takes note of how a sending ended.
    pub fn finish_attempt(&mut self, incarnation: &str, end: AttemptOutcome, now: Instant) {
        self.note_gone(incarnation, end, now);
        let is_done = self.servers.update(incarnation, |known| {
            known.end();
            known.judge(end, now);
            known.is_done()
        });
        if is_done == Some(true) {
            self.servers.remove(incarnation);
        }
    }

    /// Takes note of something that is seen while a request still runs.
    pub fn observe(&mut self, incarnation: &str, end: AttemptOutcome, now: Instant) {
        self.note_gone(incarnation, end, now);
        self.servers
            .update(incarnation, |known| known.judge(end, now));
    }

    /// Takes note that an incarnation is gone or leaves, where an end says so.
    fn note_gone(&mut self, incarnation: &str, end: AttemptOutcome, now: Instant) {
        let known = self.servers.get(incarnation);
        if let Some(server) = known.map(|known| Arc::clone(&known.server))
            && end == AttemptOutcome::Gone
        {
            self.record_notice(&server, Notice::Draining, now);
        }
    }
}

/// # Turns
impl Pool {
    /// Until when servers have asked this host for rest.
    pub(super) fn backoffs(&self, now: Instant) -> Vec<(Arc<str>, Instant)> {
        let resting = self.notices.backing_off(now);
        let resting = resting.map(|(incarnation, left)| (incarnation, now + left));
        resting.collect()
    }

    /// How many wait.
    #[must_use]
    pub fn queue_len(&self) -> usize {
        self.waiting.len()
    }

    /// Puts a request in line at `now`; tells who is turned away for want of room.
    pub fn enqueue(&mut self, ask: Request, now: Instant) -> (Ticket, Option<Ticket>) {
        self.next += 1;
        let ticket = Ticket(self.next);
        self.forecast.asked(ask.rank, now);
        self.waiting.add(ticket, ask, now);
        let crowded = self.waiting.len() > self.tuning.max_queued;
        let last = if crowded { self.waiting.last() } else { None };
        if let Some(last) = last {
            self.waiting.remove(last);
        }
        (ticket, last)
    }

    /// Takes a request out of line; false where it does not wait any more.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(ticket)
    }

    /// Gives turns to those in line for whom there is room.
    pub fn assign(&mut self, now: Instant) -> Vec<Assignment> {
        let mut turns = Vec::new();
        let mut last = None;
        let resting = self.backoffs(now);
        self.waiting.age(now);
        while let Some((in_line, ask)) = self.waiting.after(last) {
            if !self.has_room() {
                break;
            }
            let (ticket, is_bound) = (in_line.ticket, ask.is_bound());
            let ask = ask.with_rests(&resting).into_owned();
            last = Some(in_line);
            let Some(place) = self.choose_server(&ask, now) else {
                // Only some servers are closed to it: the next in line may go to one of those.
                if !is_bound {
                    break;
                }
                continue;
            };
            self.waiting.remove(ticket);
            self.forecast.turn(now);
            self.spend_trial_request(place);
            // A server's limit is over all hosts, of which each sees its own part only: it is kept where all places
            // are given.
            let charged_to_limit = self.limits.draw(&self.servers.at(place).server, now);
            self.servers.update_at(place, |known| {
                known.trust.record_assignment(now);
                known.begin(ask.prompt);
            });
            turns.push(Assignment {
                ticket,
                server: Arc::clone(&self.servers.at(place).server),
                prompt: ask.prompt,
                charged_to_limit,
            });
        }
        let is_held = self.waiting.len() > 0 && self.is_limited(now);
        self.held.set(is_held, now);
        turns
    }

    /// Whether a server has room, and has got what it takes.
    fn is_limited(&self, now: Instant) -> bool {
        let mut free = self.servers.free().iter();
        let is_limited = |place: &usize| !self.limits.admits(&self.servers.at(*place).server, now);
        !self.limits.is_empty() && free.any(is_limited)
    }

    /// For how long requests waited while a server had room and had got what it takes, since this was last asked for.
    pub fn take_limit_wait(&mut self) -> Duration {
        self.held.take()
    }
}

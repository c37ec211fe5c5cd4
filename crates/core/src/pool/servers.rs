//! The pool: what is known of the backend servers of a service, and who waits for them.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::clock::Instant;
use crate::gateway::Load;
use crate::gateway::Server;
use crate::unit::Tokens;

use super::Ask;
use super::End;
use super::Ticket;
use super::Tuning;
use super::Turn;
use super::forecast::Forecast;
use super::on_trial::OnTrial;
use super::roster::Roster;
use super::server::Known;
use super::waiting::Waiting;

/// The backend servers of one service, and the requests that wait for one.
#[derive(Debug)]
pub struct Pool {
    pub(super) tuning: Tuning,
    pub(super) servers: Roster,
    pub(super) waiting: Waiting,
    pub(super) forecast: Forecast,
    /// The version that gets no more than so many requests.
    pub(super) on_trial: Option<OnTrial>,
    next: u64,
    pub(super) random: SmallRng,
}

impl Pool {
    /// An empty pool.
    #[must_use]
    pub fn new(tuning: Tuning, seed: u64) -> Self {
        Self {
            tuning,
            servers: Roster::new(tuning.over),
            waiting: Waiting::default(),
            forecast: Forecast::default(),
            on_trial: None,
            next: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }
}

/// # Servers
impl Pool {
    /// Takes up a list; what is known of an incarnation that stays is kept.
    pub fn adopt(&mut self, servers: Vec<Arc<Server>>) {
        self.servers.adopt(servers);
    }

    /// Takes up what other gateways have in flight.
    pub fn hear(&mut self, loads: &[Load]) {
        self.servers.update_all(|known| known.hear(None));
        for load in loads {
            let hear = |known: &mut Known| known.hear(Some(load));
            self.servers.update(&load.incarnation, hear);
        }
    }

    /// Takes up what all gateways together have in flight at one incarnation; whoever gives it out
    /// counts what is sent, so nothing is in flight from here.
    pub fn occupy(&mut self, incarnation: &str, in_flight: Option<&Load>) {
        self.servers.update(incarnation, |known| {
            known.forget_own();
            known.hear(in_flight);
        });
    }

    /// The version that gets no more than some requests; none where all versions are alike.
    pub fn set_on_trial(&mut self, on_trial: Option<OnTrial>) {
        self.on_trial = on_trial;
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
    /// to take no new work.
    pub fn take(&mut self, server: &Arc<Server>, prompt: Tokens) -> bool {
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
        let all_suspect = self.is_suspect(|server| !tried.contains(&server.incarnation), now);
        let avoided = self.servers.all();
        let avoided = avoided.filter(move |known| !known.trust.is_trusted(all_suspect, now));
        avoided.map(move |known| {
            let left = known.trust.left_alone(now);
            (Arc::clone(&known.server.incarnation), left)
        })
    }

    /// For how much longer a server is left alone at `now`.
    #[must_use]
    pub fn left_alone(&self, incarnation: &str, now: Instant) -> Duration {
        let known = self.servers.get(incarnation);
        known.map_or(Duration::ZERO, |known| known.trust.left_alone(now))
    }

    /// Takes up what an answer of a server told of its load.
    pub fn told(&mut self, incarnation: &str, in_flight: u32) {
        self.servers.update(incarnation, |known| {
            known.others = in_flight.saturating_sub(known.own);
        });
    }

    /// Whether it has a server that takes new work.
    #[must_use]
    pub fn is_served(&self) -> bool {
        self.servers.all().any(Known::takes_work)
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
    pub fn begun(&mut self, incarnation: &str, prompt: Tokens) {
        self.servers.update(incarnation, |known| {
            known.own_reading = known.own_reading.saturating_sub(prompt.0);
        });
    }

    /// Takes note of how a sending ended.
    pub fn ended(&mut self, incarnation: &str, end: End, now: Instant) {
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
    pub fn seen(&mut self, incarnation: &str, end: End, now: Instant) {
        self.servers
            .update(incarnation, |known| known.judge(end, now));
    }
}

/// # Turns
impl Pool {
    /// How many wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Puts a request in line at `now`; tells who is turned away for want of room.
    pub fn ask(&mut self, ask: Ask, now: Instant) -> (Ticket, Option<Ticket>) {
        self.next += 1;
        let ticket = Ticket(self.next);
        self.forecast.asked(ask.rank, now);
        self.waiting.add(ticket, ask, now);
        let crowded = self.waiting.len() > self.tuning.waiting;
        let last = if crowded { self.waiting.last() } else { None };
        if let Some(last) = last {
            self.waiting.remove(last);
        }
        (ticket, last)
    }

    /// Takes a request out of line; false where it does not wait any more.
    pub fn leave(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(ticket)
    }

    /// Gives turns to those in line for whom there is room.
    pub fn serve(&mut self, now: Instant) -> Vec<Turn> {
        let mut turns = Vec::new();
        let mut last = None;
        self.waiting.age(now);
        while let Some((in_line, ask)) = self.waiting.after(last) {
            if !self.has_room() {
                break;
            }
            let (ticket, ask) = (in_line.ticket, ask.clone());
            last = Some(in_line);
            let Some(place) = self.choose(&ask, now) else {
                // Only some servers are closed to it: the next in line may go to one of those.
                if ask.tried.is_empty() && ask.avoid.is_empty() {
                    break;
                }
                continue;
            };
            self.waiting.remove(ticket);
            self.forecast.turn(now);
            self.spend_at(place);
            self.servers
                .update_at(place, |known| known.begin(ask.prompt));
            turns.push(Turn {
                ticket,
                server: Arc::clone(&self.servers.at(place).server),
                prompt: ask.prompt,
            });
        }
        turns
    }
}

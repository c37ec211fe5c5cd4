//! The choice of a backend server for a request.

use rand::RngExt;

use crate::clock::Instant;
use crate::gateway::Server;

use super::Pool;
use super::Request;
use super::server_state::ServerState;

/// The weight, in requests, of the random number that is added to each server's score. It spreads requests over
/// servers with nearly equal scores.
const TIE_BREAK_WEIGHT: f64 = 0.3;

/// The lower bound of a server's latency, relative to the mean: a few unusually fast responses must not draw every
/// request to one server.
const MIN_RELATIVE_LATENCY: f64 = 0.2;

/// The upper bound of a server's latency, relative to the mean: a few unusually slow responses must not keep all
/// requests away from a server.
const MAX_RELATIVE_LATENCY: f64 = 5.0;

/// How many servers with room are sampled for a request in a large pool. The best of 64 is among the best tenth of
/// all in 998 of 1,000 cases.
const SAMPLED_SERVERS: usize = 64;

/// How many of the fastest servers with room are added to the sample. With thousands of servers that each get a few
/// requests a day, a random sample seldom contains those that are known to be fast.
const SAMPLED_FASTEST_SERVERS: usize = 32;

/// The largest number of servers with room that are all compared, without sampling.
const MAX_SERVERS_UNSAMPLED: usize = 128;

impl Pool {
    /// Whether any server has room.
    pub(super) fn has_room(&self) -> bool {
        !self.servers.free().is_empty()
    }

    /// The index of the best server with room. If all servers are suspect, those that broke only once or twice are
    /// used. In a large pool a sample is compared first, and all servers if none of the sample is usable.
    pub(super) fn choose_server(&mut self, request: &Request, now: Instant) -> Option<usize> {
        let index = self.choose_trial_server(request, now);
        if index.is_some() {
            return index;
        }
        let trial = self.trial.clone();
        let may = |server: &Server| {
            Self::is_unrestricted(trial.as_ref(), server) && request.may_go_to(server, now)
        };
        let all_suspect = self.all_suspect(may, now);
        let usable =
            |state: &ServerState| may(&state.server) && state.health.is_usable(all_suspect, now);
        let free = self.servers.free();
        if free.len() > MAX_SERVERS_UNSAMPLED {
            let last = free.last().copied().unwrap_or_default();
            let from = self.random.random_range(0..=last);
            let rotated = free.range(from..).chain(free.range(..from));
            let sample = rotated.take(SAMPLED_SERVERS).copied();
            let sample = sample
                .chain(self.servers.fastest().take(SAMPLED_FASTEST_SERVERS))
                .collect();
            let best = self.best_server(request, sample, usable, now);
            if best.is_some() || self.is_passed_over() {
                return best;
            }
        }
        let all = self.servers.free().iter().copied().collect();
        self.best_server(request, all, usable, now)
    }

    /// Whether every server that a request `may` go to is suspect.
    pub(super) fn all_suspect(&self, may: impl Fn(&Server) -> bool, now: Instant) -> bool {
        let mut accepting = self
            .servers
            .all()
            .filter(|state| state.accepts_work() && may(&state.server));
        accepting.all(|state| state.health.is_suspect(now))
    }

    /// The index of the server with the lowest score among the `candidates` that are `usable` and within their rate
    /// limits.
    ///
    /// A random number decides between servers with equal scores, so that gateways with the same information do not
    /// all send to the same server.
    fn best_server(
        &mut self,
        request: &Request,
        candidates: Vec<usize>,
        usable: impl Fn(&ServerState) -> bool,
        now: Instant,
    ) -> Option<usize> {
        if self.uses_estimates() {
            let usable = |index: &usize| {
                let state = self.servers.at(*index);
                usable(state) && self.admits(state, now)
            };
            let engines: Vec<_> = candidates.into_iter().filter(usable).collect();
            return self.choose_engine(request, &engines, now);
        }
        let mean = self.servers.mean_latency();
        let mut best: Option<(f64, usize)> = None;
        for index in candidates {
            let tie_break: f64 = self.random.random();
            let state = self.servers.at(index);
            if !usable(state) || !self.admits(state, now) {
                continue;
            }
            let score = self.score(state, request, mean) + tie_break * TIE_BREAK_WEIGHT;
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// How long a request is likely to take at a server, in units of one request at a server of mean latency.
    fn score(&self, state: &ServerState, request: &Request, mean: f64) -> f64 {
        let latency = state
            .latency()
            .map_or(1.0, |latency| latency / mean.max(f64::MIN_POSITIVE));
        let hall_cost = if state.server.hall == request.hall {
            0.0
        } else {
            self.tuning.remote_hall_cost
        };
        let failure_factor = 1.0 + self.tuning.failure_penalty * state.health.failure_rate();
        let prefill = request.prompt.as_f64() + state.prefill_tokens().as_f64();
        let own_cost = self.tuning.request_cost + self.tuning.prompt_cost * prefill / 1_000.0;
        (f64::from(state.in_flight()) + own_cost + hall_cost)
            * latency.clamp(MIN_RELATIVE_LATENCY, MAX_RELATIVE_LATENCY)
            * failure_factor
    }
}

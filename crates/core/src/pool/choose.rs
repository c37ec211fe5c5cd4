//! Which backend server of a pool a request is sent to.

use rand::RngExt;

use crate::clock::Instant;
use crate::gateway::Server;

use super::Pool;
use super::Request;
use super::server_state::ServerState;

/// The weight of the lot that is drawn for each server, in requests: servers that look nearly the
/// same are told apart by it.
const LOT: f64 = 0.3;

/// The least that a server's pace counts, against the mean of all: a few odd answers must not draw
/// every request to it.
const FASTEST: f64 = 0.2;

/// The most that it counts: a few odd answers must not keep all requests away.
const SLOWEST: f64 = 5.0;

/// How many servers with room are looked at for a request, where there are more: the best of so many is of
/// the best tenth of all in 998 cases of 1,000.
const LOOKED_AT: usize = 64;

/// How many of the fastest with room are looked at besides: of thousands of servers that are asked a few times a day each,
/// those that are known to be fast are seldom among some that are drawn.
const FASTEST_LOOKED_AT: usize = 32;

/// Up to how many servers with room all are looked at.
const ALL: usize = 128;

impl Pool {
    /// Whether any server has room at all.
    pub(super) fn has_room(&self) -> bool {
        !self.servers.free().is_empty()
    }

    /// The place of the best server with room; where all are left alone, of those that have
    /// hardly broken. Of many some are looked at, and all where none of those will do.
    pub(super) fn choose_server(&mut self, ask: &Request, now: Instant) -> Option<usize> {
        let place = self.choose_trial_server(ask, now);
        if place.is_some() {
            return place;
        }
        let on_trial = self.trial.clone();
        let may = |server: &Server| {
            Self::is_unrestricted(on_trial.as_ref(), server) && ask.may_go_to(server, now)
        };
        let all_suspect = self.all_suspect(may, now);
        let trusted =
            |known: &ServerState| may(&known.server) && known.trust.is_usable(all_suspect, now);
        let free = self.servers.free();
        if free.len() > ALL {
            let last = free.last().copied().unwrap_or_default();
            let from = self.random.random_range(0..=last);
            let around = free.range(from..).chain(free.range(..from));
            let some = around.take(LOOKED_AT).copied();
            let some = some
                .chain(self.servers.fastest().take(FASTEST_LOOKED_AT))
                .collect();
            let best = self.best(ask, some, trusted, now);
            if best.is_some() {
                return best;
            }
        }
        let all = self.servers.free().iter().copied().collect();
        self.best(ask, all, trusted, now)
    }

    /// Whether every server that a request `may` go to is suspect.
    pub(super) fn all_suspect(&self, may: impl Fn(&Server) -> bool, now: Instant) -> bool {
        let mut taking = self
            .servers
            .all()
            .filter(|known| known.takes_work() && may(&known.server));
        taking.all(|known| known.trust.is_suspect(now))
    }

    /// The place of the best server among `places` that is `trusted`, and may still get a request of its limit.
    ///
    /// Two that look the same are told apart by lot, so that gateways with the same word do not
    /// all send to the same one.
    fn best(
        &mut self,
        ask: &Request,
        places: Vec<usize>,
        trusted: impl Fn(&ServerState) -> bool,
        now: Instant,
    ) -> Option<usize> {
        let mean = self.servers.mean_pace();
        let mut best: Option<(f64, usize)> = None;
        for place in places {
            let lot: f64 = self.random.random();
            let known = self.servers.at(place);
            if !trusted(known) || !self.limits.admits(&known.server, now) {
                continue;
            }
            let score = self.score(known, ask, mean) + lot * LOT;
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, place));
            }
        }
        best.map(|(_, place)| place)
    }

    /// How long a request is likely to take there, in the time of one request at a
    /// server of the usual pace.
    fn score(&self, known: &ServerState, ask: &Request, mean: f64) -> f64 {
        let pace = known
            .pace()
            .map_or(1.0, |pace| pace / mean.max(f64::MIN_POSITIVE));
        let far = if known.server.hall == ask.hall {
            0.0
        } else {
            self.tuning.remote_hall_cost
        };
        let distrust = 1.0 + self.tuning.failure_penalty * known.trust.failure_rate();
        let reading = ask.prompt.as_f64() + known.reading().as_f64();
        let itself = self.tuning.request_cost + self.tuning.prompt_cost * reading / 1_000.0;
        (f64::from(known.in_flight()) + itself + far) * pace.clamp(FASTEST, SLOWEST) * distrust
    }
}

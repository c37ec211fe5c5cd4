//! Which backend server of a pool a request is sent to.

use rand::RngExt;

use crate::clock::Instant;
use crate::gateway::Server;

use super::Ask;
use super::Pool;
use super::server::Known;

/// The weight of the lot that is drawn for each server, in requests: servers that look nearly the
/// same are told apart by it.
const LOT: f64 = 0.3;

/// The least that a server's pace counts, against the mean of all: a few odd answers must not draw
/// every request to it.
const FASTEST: f64 = 0.2;

/// The most that it counts: a few odd answers must not keep all requests away.
const SLOWEST: f64 = 5.0;

impl Pool {
    /// Whether any server has room at all.
    pub(super) fn has_room(&self) -> bool {
        let mut servers = self.servers.iter();
        servers.any(|known| !known.server.leaving && self.is_free(known))
    }

    pub(super) fn is_free(&self, known: &Known) -> bool {
        known.in_flight() < known.server.slots.max(1) + self.tuning.over
    }

    /// The place of the best server with room; where all are left alone, of those that have
    /// hardly broken.
    pub(super) fn choose(&mut self, ask: &Ask, now: Instant) -> Option<usize> {
        let all_suspect = self.is_suspect(|server| ask.may_go_to(server, now), now);
        self.best(ask, |known| {
            ask.may_go_to(&known.server, now) && known.trust.is_trusted(all_suspect, now)
        })
    }

    /// Whether every server that a request `may` go to is suspect.
    pub(super) fn is_suspect(&self, may: impl Fn(&Server) -> bool, now: Instant) -> bool {
        let mut taking = self.servers.iter().filter(|known| {
            let server = &known.server;
            !server.leaving && may(server)
        });
        taking.all(|known| known.trust.is_suspect(now))
    }

    /// The place of the best server with room among those that are `trusted`.
    ///
    /// Two that look the same are told apart by lot, so that gateways with the same word do not
    /// all send to the same one.
    fn best(&mut self, ask: &Ask, trusted: impl Fn(&Known) -> bool) -> Option<usize> {
        let mean = self.mean_pace();
        let mut best: Option<(f64, usize)> = None;
        for place in 0..self.servers.len() {
            let lot: f64 = self.random.random();
            let known = &self.servers[place];
            let server = &known.server;
            let room = self.is_free(known);
            if server.leaving || !room || !trusted(known) {
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
    fn score(&self, known: &Known, ask: &Ask, mean: f64) -> f64 {
        let pace = known
            .pace()
            .map_or(1.0, |pace| pace / mean.max(f64::MIN_POSITIVE));
        let far = if known.server.hall == ask.hall {
            0.0
        } else {
            self.tuning.distance
        };
        let distrust = 1.0 + self.tuning.distrust * known.trust.failures();
        let reading = ask.prompt.as_f64() + known.reading().as_f64();
        let itself = self.tuning.own + self.tuning.prompt * reading / 1_000.0;
        (f64::from(known.in_flight()) + itself + far) * pace.clamp(FASTEST, SLOWEST) * distrust
    }

    /// The mean pace of all servers.
    fn mean_pace(&self) -> f64 {
        let paces = self.servers.iter();
        let paces = paces.filter_map(Known::pace);
        let (sum, count) = paces.fold((0.0, 0.0), |(sum, count), pace| (sum + pace, count + 1.0));
        if count > 0.0 { sum / count } else { 1.0 }
    }
}

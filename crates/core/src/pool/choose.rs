//! Which backend server of a pool a request is sent to.

use std::cmp::Reverse;
use std::sync::Arc;

use rand::RngExt;

use crate::clock::Instant;
use crate::gateway::Server;
use crate::gateway::version;
use crate::rollout::Version;

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

/// How many servers with room are looked at for a request, where there are more: the best of so many is of
/// the best tenth of all in 998 cases of 1,000.
const LOOKED_AT: usize = 64;

/// Up to how many servers with room all are looked at.
const ALL: usize = 128;

/// One of so many requests of other rules is tried while too little is known under some: with none of them, a
/// version that turned slow meanwhile got all requests in one trial of ten.
const OTHERS: u32 = 8;

/// A version that gets no more than some of the requests.
#[derive(Clone, Debug)]
pub struct OnTrial {
    /// The version.
    pub version: Version,
    /// How many requests it may get now.
    pub credit: u32,
    /// The rules under which too little is known of it: where there are any, it gets few requests of others.
    pub lacking: Vec<Arc<str>>,
}

impl OnTrial {
    /// Whether a request is of those that are to be tried first.
    fn lacks(&self, ask: &Ask) -> bool {
        let is_lacking = |rule: &Arc<str>| self.lacking.contains(rule);
        self.lacking.is_empty() || ask.rule.as_ref().is_some_and(is_lacking)
    }
}

/// # Versions on trial
///
/// Load pattern: a version may be bad only under load, and what it gets is a tenth of the requests at most.
/// Spread over all its servers that leaves them idle. So it is given to few of them, which run as many
/// requests as other servers do: answers are then compared at equal load. A rule that is asked for rarely would
/// be tried last, so it goes first where too little is known under it.
impl Pool {
    /// Whether requests go to `server` without a bound.
    fn is_open(on_trial: Option<&OnTrial>, server: &Server) -> bool {
        on_trial.is_none_or(|on_trial| on_trial.version != server.version)
    }

    /// The place of the server that a request is tried at, where it is.
    fn choose_on_trial(&mut self, ask: &Ask, now: Instant) -> Option<usize> {
        let on_trial = self.on_trial.as_ref();
        let on_trial = on_trial.filter(|on_trial| {
            let is_first = on_trial.lacks(ask) || self.random.random_ratio(1, OTHERS);
            is_first && on_trial.credit > 0
        });
        let on_trial = on_trial.cloned()?;
        let usual = self.usual_load(&on_trial);
        let free = self
            .servers
            .free()
            .iter()
            .map(|place| (*place, self.servers.at(*place)));
        let may = free.filter(|(_, known)| {
            known.server.version == on_trial.version
                && ask.may_go_to(&known.server, now)
                && known.trust.is_trusted(false, now)
        });
        // Those that run less than others do come first, in an order that is another one each second: so
        // servers of all kinds are tried, a few at a time. One that fails by itself is left to the last, as
        // among others: at half of all servers failing half of their answers, three good versions in ten
        // looked bad beside others whose failing servers got nothing any more.
        let second = now.0 / 1_000_000;
        let order = |known: &Known| {
            let load = known.in_flight();
            let is_idle = f64::from(load) < usual;
            let lot = version(&(second, &known.server.incarnation));
            let busy = if is_idle { 0 } else { load };
            (Reverse(is_idle), busy, known.trust.grade(), lot)
        };
        let best = may.min_by_key(|(_, known)| order(known));
        best.map(|(place, _)| place)
    }

    /// How many requests a server of another version runs in the mean.
    fn usual_load(&self, on_trial: &OnTrial) -> f64 {
        let open = self
            .servers
            .all()
            .filter(|known| known.takes_work() && Self::is_open(Some(on_trial), &known.server));
        let (servers, load) = open.fold((0_u32, 0_u32), |(servers, load), known| {
            (servers + 1, load.saturating_add(known.in_flight()))
        });
        f64::from(load) / f64::from(servers.max(1))
    }

    /// Counts a turn at the server at `place`.
    pub(super) fn spend_at(&mut self, place: usize) {
        let version = &self.servers.at(place).server.version;
        if let Some(on_trial) = &mut self.on_trial
            && on_trial.version == *version
        {
            on_trial.credit = on_trial.credit.saturating_sub(1);
        }
    }
}

impl Pool {
    /// Whether any server has room at all.
    pub(super) fn has_room(&self) -> bool {
        !self.servers.free().is_empty()
    }

    /// The place of the best server with room; where all are left alone, of those that have
    /// hardly broken. Of many some are looked at, and all where none of those will do.
    pub(super) fn choose(&mut self, ask: &Ask, now: Instant) -> Option<usize> {
        let place = self.choose_on_trial(ask, now);
        if place.is_some() {
            return place;
        }
        let on_trial = self.on_trial.clone();
        let may = |server: &Server| {
            Self::is_open(on_trial.as_ref(), server) && ask.may_go_to(server, now)
        };
        let all_suspect = self.is_suspect(may, now);
        let trusted =
            |known: &Known| may(&known.server) && known.trust.is_trusted(all_suspect, now);
        let free = self.servers.free();
        if free.len() > ALL {
            let last = free.last().copied().unwrap_or_default();
            let from = self.random.random_range(0..=last);
            let around = free.range(from..).chain(free.range(..from));
            let some = around.take(LOOKED_AT).copied().collect();
            let best = self.best(ask, some, trusted);
            if best.is_some() {
                return best;
            }
        }
        let all = self.servers.free().iter().copied().collect();
        self.best(ask, all, trusted)
    }

    /// Whether every server that a request `may` go to is suspect.
    pub(super) fn is_suspect(&self, may: impl Fn(&Server) -> bool, now: Instant) -> bool {
        let mut taking = self
            .servers
            .all()
            .filter(|known| known.takes_work() && may(&known.server));
        taking.all(|known| known.trust.is_suspect(now))
    }

    /// The place of the best server among `places` that is `trusted`.
    ///
    /// Two that look the same are told apart by lot, so that gateways with the same word do not
    /// all send to the same one.
    fn best(
        &mut self,
        ask: &Ask,
        places: Vec<usize>,
        trusted: impl Fn(&Known) -> bool,
    ) -> Option<usize> {
        let mean = self.servers.mean_pace();
        let mut best: Option<(f64, usize)> = None;
        for place in places {
            let lot: f64 = self.random.random();
            let known = self.servers.at(place);
            if !trusted(known) {
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
}

//! Which requests a version on trial gets, and at which of its servers.
//!
//! Load pattern: a version may be bad only under load, and what it gets is a tenth of the requests at most.
//! Spread over all its servers that leaves them idle. So it is given to few of them, which run as many
//! requests as other servers do: answers are then compared at equal load. A rule that is asked for rarely would
//! be tried last, so it goes first where too little is known under it.

use std::cmp::Reverse;
use std::sync::Arc;

use rand::RngExt;

use crate::clock::Instant;
use crate::gateway::Server;
use crate::gateway::content_hash;
use crate::rollout::Version;

use super::Ask;
use super::Pool;
use super::server::Known;

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

impl Pool {
    /// Whether requests go to `server` without a bound.
    pub(super) fn is_open(on_trial: Option<&OnTrial>, server: &Server) -> bool {
        on_trial.is_none_or(|on_trial| on_trial.version != server.version)
    }

    /// The place of the server that a request is tried at, where it is.
    pub(super) fn choose_on_trial(&mut self, ask: &Ask, now: Instant) -> Option<usize> {
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
                && self.limits.admits(&known.server, now)
        });
        // Those that run less than others do come first, in an order that is another one each second: so
        // servers of all kinds are tried, a few at a time. One that fails by itself is left to the last, as
        // among others: at half of all servers failing half of their answers, three good versions in ten
        // looked bad beside others whose failing servers got nothing any more.
        let second = now.0 / 1_000_000;
        let order = |known: &Known| {
            let load = known.in_flight();
            let is_idle = f64::from(load) < usual;
            let lot = content_hash(&(second, &known.server.incarnation));
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

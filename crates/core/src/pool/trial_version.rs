//! Which requests are sent to a version on trial, and to which of its servers.
//!
//! Load pattern: a version may be bad only under load, but it gets a tenth of the requests at most. Spread over all
//! its servers, these would leave them idle. They are therefore sent to few of its servers, which run as many requests
//! as servers of other versions do, so that responses are compared at equal load. Requests of a rarely used rule would
//! be sampled last, so rules with too few samples go first.

use std::cmp::Reverse;
use std::sync::Arc;

use rand::RngExt;

use crate::clock::Instant;
use crate::gateway::Server;
use crate::gateway::content_hash;
use crate::rollout::Version;

use super::Pool;
use super::Request;
use super::server_state::ServerState;

/// While some rules lack samples, one in this many requests of the other rules is still sent to the version on trial.
/// Without them, a version that became slow in the meantime got all requests in one trial of ten.
const OTHER_RULES_RATIO: u32 = 8;

/// A version on trial, which may get only a limited number of requests.
#[derive(Clone, Debug)]
pub struct TrialVersion {
    /// The version.
    pub version: Version,
    /// How many more requests it may get now.
    pub remaining_requests: u32,
    /// The rules with too few samples of it. If there are any, it gets few requests of other rules.
    pub under_sampled_rules: Vec<Arc<str>>,
}

impl TrialVersion {
    /// Whether a request should be sent to the version on trial first.
    fn prefers(&self, request: &Request) -> bool {
        if request.allowed_versions.is_some() && request.allows_version(&self.version) {
            return true;
        }
        let is_under_sampled = |rule: &Arc<str>| self.under_sampled_rules.contains(rule);
        self.under_sampled_rules.is_empty() || request.rule.as_ref().is_some_and(is_under_sampled)
    }
}

impl Pool {
    /// Whether the number of requests to `server` is not limited by a trial.
    pub(super) fn is_unrestricted(trial: Option<&TrialVersion>, server: &Server) -> bool {
        trial.is_none_or(|trial| trial.version != server.version)
    }

    /// The index of the server of the version on trial that a request is sent to; `None` if it is not sent to that
    /// version.
    pub(super) fn choose_trial_server(&mut self, request: &Request, now: Instant) -> Option<usize> {
        let trial = self.trial.as_ref();
        let trial = trial.filter(|trial| {
            let is_chosen =
                trial.prefers(request) || self.random.random_ratio(1, OTHER_RULES_RATIO);
            is_chosen && trial.remaining_requests > 0
        });
        let trial = trial.cloned()?;
        let mean_load = self.mean_load(&trial);
        let free = self
            .servers
            .free()
            .iter()
            .map(|index| (*index, self.servers.at(*index)));
        let candidates = free.filter(|(_, state)| {
            state.server.version == trial.version
                && request.may_go_to(&state.server, now)
                && state.health.is_usable(false, now)
                && self.admits(state, now)
                && (!self.uses_estimates() || self.fits_memory(state, request, now))
        });
        // Servers below the mean load go first, in an order that changes every second, so that all servers are sampled,
        // a few at a time. A server that fails by itself goes last, as it does in other versions. Without this, and
        // with half of all servers failing half of their responses, three of ten good versions looked bad compared with
        // others whose failing servers no longer got requests.
        let second = now.0 / 1_000_000;
        let order = |state: &ServerState| {
            let load = state.in_flight();
            let is_below_mean = f64::from(load) < mean_load;
            let shuffled = content_hash(&(second, &state.server.incarnation));
            let excess_load = if is_below_mean { 0 } else { load };
            (
                Reverse(is_below_mean),
                excess_load,
                state.health.failure_grade(),
                shuffled,
            )
        };
        let best = candidates.min_by_key(|(_, state)| order(state));
        best.map(|(index, _)| index)
    }

    /// The mean number of requests in flight at servers of other versions.
    fn mean_load(&self, trial: &TrialVersion) -> f64 {
        let others = self.servers.all().filter(|state| {
            state.accepts_work() && Self::is_unrestricted(Some(trial), &state.server)
        });
        let (servers, load) = others.fold((0_u32, 0_u32), |(servers, load), state| {
            (servers + 1, load.saturating_add(state.in_flight()))
        });
        f64::from(load) / f64::from(servers.max(1))
    }

    /// Counts a request that is sent to the server at `index`, if that runs the version on trial.
    pub(super) fn spend_trial_request(&mut self, index: usize) {
        let version = &self.servers.at(index).server.version;
        if let Some(trial) = &mut self.trial
            && trial.version == *version
        {
            trial.remaining_requests = trial.remaining_requests.saturating_sub(1);
        }
    }
}

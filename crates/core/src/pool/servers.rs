//! The pool of a service: assigns queued requests to backend servers.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::clock::Instant;
use crate::gateway::Load;
use crate::gateway::Server;
use crate::id;
use crate::limit::Key;
use crate::limit::Limit;
use crate::limit::RateLimiter;
use crate::limit::Warmup;
use crate::rejection;
use crate::rollout::Version;
use crate::route::Engine;
use crate::unit::Tokens;

use super::Assignment;
use super::AttemptOutcome;
use super::Notice;
use super::Notices;
use super::Part;
use super::Release;
use super::Request;
use super::Scheduling;
use super::SlotUsage;
use super::Ticket;
use super::Tuning;
use super::estimate::Model;
use super::fair_order::Order;
use super::forecast::Forecast;
use super::limit_wait::LimitWait;
use super::placement::Placement;
use super::queue::Queue;
use super::retry_schedule::RetrySchedule;
use super::server_set::ServerSet;
use super::server_state::ServerState;
use super::trial_version::TrialVersion;

/// The backend servers of one service, and the queue of requests for them.
#[derive(Debug)]
pub struct Pool {
    pub(super) tuning: Tuning,
    pub(super) servers: ServerSet,
    /// The versions of the servers, each once.
    versions: Vec<Version>,
    /// What servers have announced about themselves to this host.
    notices: Notices,
    /// The rate limits that servers have announced, and how much of them is used.
    pub(super) limits: RateLimiter,
    limit_wait: LimitWait,
    /// The lowest number of rejections that a server has announced to withstand.
    rejection_limit: Option<rejection::Limit>,
    pub(super) queue: Queue,
    pub(super) forecast: Forecast,
    /// When rejected callers should retry.
    pub(super) retries: RetrySchedule,
    /// The version on trial, which may get only a limited number of requests.
    pub(super) trial: Option<TrialVersion>,
    /// How many more requests may be assigned; `None` if that is not limited.
    pub(super) assignments_left: Option<u32>,
    /// Whether the loads of other gateways count less, as they were last heard too long ago.
    pub(super) discounts_others: bool,
    /// What the service's engines have in common.
    pub(super) model: Model,
    pub(super) placement: Placement,
    pub(super) last_ticket: u64,
    /// The last ticket that had been issued when doomed requests were last removed.
    pub(super) last_checked: u64,
    pub(super) random: SmallRng,
}

impl Pool {
    /// An empty pool.
    #[must_use]
    pub fn new(tuning: Tuning, seed: u64) -> Self {
        Self {
            tuning,
            servers: ServerSet::new(tuning.extra_in_flight),
            versions: Vec::new(),
            notices: Notices::default(),
            limits: RateLimiter::closed(),
            limit_wait: LimitWait::default(),
            rejection_limit: None,
            queue: Queue::new(tuning.scheduling.has(Part::FairShares)),
            forecast: Forecast::default(),
            retries: RetrySchedule::default(),
            trial: None,
            model: Model::default(),
            placement: Placement::default(),
            assignments_left: None,
            discounts_others: false,
            last_ticket: 0,
            last_checked: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// The same pool for the hub, which grants slots to all gateways. Only there requests are sent to servers that have
    /// announced a rate limit.
    #[must_use]
    pub fn for_all_gateways(self) -> Self {
        Self {
            limits: RateLimiter::granting(),
            placement: self.placement.for_all_gateways(),
            ..self
        }
    }
}

/// # Servers
impl Pool {
    /// Replaces the servers by those of a list. The state of incarnations that stay is retained.
    pub fn update_servers(&mut self, mut servers: Vec<Arc<Server>>) {
        for server in &mut servers {
            // A list that is older than the server's own notice must not revoke it.
            if self.notices.is_draining(&server.incarnation) {
                Arc::make_mut(server).leaving = true;
            }
        }
        self.versions.clear();
        for server in &servers {
            self.add_version(&server.version);
        }
        self.servers.replace(servers);
        self.forget_fastest();
        if !self.limits.is_empty() {
            let names = self.servers.all().map(|state| &*state.server.name);
            let names: HashSet<_> = names.collect();
            self.limits.retain_servers(|name| names.contains(name));
        }
    }

    fn add_version(&mut self, version: &Version) {
        if !self.versions.contains(version) {
            self.versions.push(version.clone());
        }
    }

    /// Whether a server that accepts new work runs one of these versions.
    #[must_use]
    pub fn accepts_work_of(&self, versions: &[Version]) -> bool {
        let mut accepting = self.servers.all().filter(|state| state.accepts_work());
        accepting.any(|state| versions.contains(&state.server.version))
    }

    /// Applies notices of previous incarnations to the servers of a list that is about to replace the current one.
    pub fn inherit_notices(&mut self, servers: &[Arc<Server>], now: Instant) {
        for server in servers {
            self.notices.inherit(server, now);
        }
    }

    /// Sets what other gateways have in flight.
    pub fn update_other_loads(&mut self, loads: &[Load]) {
        self.discounts_others = false;
        self.servers.update_all(|state| state.set_other_load(None));
        for load in loads {
            let set_load = |state: &mut ServerState| state.set_other_load(Some(load));
            self.servers.update(&load.incarnation, set_load);
        }
    }

    /// Sets what all gateways together have in flight at one incarnation. This includes what was assigned here, so
    /// nothing is counted as sent from here.
    pub fn set_in_flight(&mut self, incarnation: &str, in_flight: Option<&Load>) {
        self.servers.update(incarnation, |state| {
            state.reset_own_load();
            state.set_other_load(in_flight);
            if in_flight.is_none() {
                state.pace.clear();
            }
        });
    }

    /// Sets how many requests a second each server may reject; `None` if that is not limited.
    pub fn set_rejection_limit(&mut self, limit: Option<rejection::Limit>) {
        self.rejection_limit = limit;
    }

    /// Sets how many requests an incarnation could reject within a second, over all gateways.
    pub fn set_exposure(&mut self, incarnation: &str, exposure: u32) {
        self.servers
            .update(incarnation, |state| state.exposure = exposure);
    }

    /// How many requests in flight from here a server has begun.
    #[must_use]
    pub fn begun_requests(&self, incarnation: &str) -> u32 {
        let state = self.servers.get(incarnation);
        state.map_or(0, |state| {
            state.own_requests.saturating_sub(state.own_unbegun)
        })
    }

    /// Sets the version on trial, which may get only a limited number of requests; `None` to treat all versions alike.
    pub fn set_trial(&mut self, trial: Option<TrialVersion>) {
        self.trial = trial;
    }

    /// The server of an incarnation.
    #[must_use]
    pub fn get(&self, incarnation: &str) -> Option<&Arc<Server>> {
        self.servers.get(incarnation).map(|state| &state.server)
    }

    /// The incarnations in the pool.
    pub fn incarnations(&self) -> impl Iterator<Item = &Arc<str>> {
        self.servers.all().map(|state| &state.server.incarnation)
    }

    /// Counts a request that is sent to `server` by a slot grant from outside the pool. Returns false, and counts
    /// nothing, if the server must get no new work from here.
    pub fn accept_grant(&mut self, server: &Arc<Server>, prompt: Tokens, now: Instant) -> bool {
        // Whoever granted the slot may not know what the server announced to this host, or know another incarnation.
        self.notices.inherit(server, now);
        if self.notices.excludes(&server.incarnation, now) {
            return false;
        }
        if !self.servers.contains(&server.incarnation) {
            self.add_version(&server.version);
            self.servers.add_unlisted(Arc::clone(server));
        }
        let accepted = self.servers.update(&server.incarnation, |state| {
            let accepts = !state.server.leaving;
            if accepts {
                state.start_request(prompt);
            }
            accepts
        });
        accepted == Some(true)
    }

    /// The servers that a request that has `tried` some must avoid at `now`, and for how much longer.
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
        let avoided = avoided.filter(move |state| !state.health.is_usable(all_suspect, now));
        avoided.map(move |state| {
            let remaining = state.health.avoid_for(now);
            (Arc::clone(&state.server.incarnation), remaining)
        })
    }

    /// For how much longer a server is avoided at `now`, after failures or because it asked for a backoff.
    #[must_use]
    pub fn avoid_for(&self, incarnation: &str, now: Instant) -> Duration {
        let state = self.servers.get(incarnation);
        let remaining = state.map_or(Duration::ZERO, |state| state.health.avoid_for(now));
        remaining.max(self.notices.backoff(incarnation, now))
    }

    /// What servers have announced about themselves to this host.
    #[must_use]
    pub fn get_notices(&self) -> &Notices {
        &self.notices
    }

    /// Records what a server announces about itself. Returns what is new about it.
    pub fn record_notice(
        &mut self,
        server: &Server,
        notice: Notice,
        now: Instant,
    ) -> Option<Notice> {
        if notice == Notice::Draining {
            self.servers.update(&server.incarnation, ServerState::drain);
        }
        if let Notice::Backoff(_) = notice {
            // The notice may come from an incarnation that started after the request was sent.
            let others = self.servers.all().map(|state| &state.server);
            let others = others.filter(|other| {
                other.name == server.name && other.incarnation != server.incarnation
            });
            for other in others {
                self.notices
                    .record(&other.incarnation, &other.name, notice.clone(), now);
            }
        }
        let (incarnation, name) = (&server.incarnation, &server.name);
        self.notices.record(incarnation, name, notice, now)
    }

    /// Sets the rate limit that a server has announced; `None` if it announces none any more.
    pub fn set_limit(&mut self, key: &Key, limit: Option<&Limit>, now: Instant) {
        self.limits.set_limit(key, limit, now);
    }

    /// Sets the rate limit of cold servers; `None` if they take as much as others.
    pub fn set_warmup(&mut self, warmup: Option<Warmup>, now: Instant) {
        self.limits.set_warmup(warmup, now);
    }

    /// How many requests a second all servers that accept work take together; `None` unless all of them have
    /// announced a rate limit.
    #[must_use]
    pub fn total_limit_rate(&self) -> Option<f64> {
        if self.limits.is_empty() || !self.accepts_work() {
            return None;
        }
        let accepting = self.servers.all().filter(|state| state.accepts_work());
        let rates = accepting.map(|state| self.limits.rate(&state.server));
        rates.sum()
    }

    /// Sets the parts of scheduling under hard load that are in use.
    pub fn set_scheduling(&mut self, scheduling: Scheduling) {
        self.tuning.scheduling = scheduling;
        self.servers.set_measured(scheduling.has(Part::InFlight));
        self.queue.set_fair(scheduling.has(Part::FairShares));
    }

    /// Sets what the table states about the service's engines.
    pub fn set_engine(&mut self, engine: Engine) {
        self.model.set_engine(engine);
    }

    /// If all servers that accept work back off, how long it takes until the first of them is available again.
    #[must_use]
    pub fn all_backing_off_for(&self, now: Instant) -> Option<Duration> {
        let accepting = self.servers.all().filter(|state| state.accepts_work());
        let backoffs = accepting.map(|state| self.notices.backoff(&state.server.incarnation, now));
        backoffs.min().filter(|shortest| !shortest.is_zero())
    }

    /// Adds a backoff to a queued request, because a server asked the request's host for it.
    pub fn add_backoff(&mut self, ticket: Ticket, incarnation: &Arc<str>, until: Instant) {
        if let Some(request) = self.queue.get_mut(ticket) {
            request.backoffs.push((Arc::clone(incarnation), until));
        }
    }

    /// Sets how many requests a server has in flight, as it reported in a response.
    pub fn update_load(&mut self, incarnation: &str, in_flight: u32) {
        self.servers.update(incarnation, |state| {
            state.other_requests = in_flight.saturating_sub(state.own_requests);
        });
    }

    /// Whether any server accepts new work.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        self.servers.all().any(ServerState::accepts_work)
    }

    /// What is in flight from here.
    pub fn loads(&self) -> impl Iterator<Item = Load> {
        let busy = self.servers.all().filter(|state| state.own_requests > 0);
        busy.map(|state| Load {
            incarnation: Arc::clone(&state.server.incarnation),
            requests: state.own_requests,
            prefill_tokens: Tokens(state.own_prefill_tokens),
        })
    }

    /// Records that a server has read a request's prompt, or will not read it.
    pub fn record_first_byte(&mut self, incarnation: &str, prompt: Tokens) {
        self.servers.update(incarnation, |state| {
            state.own_prefill_tokens = state.own_prefill_tokens.saturating_sub(prompt.0);
            state.own_unbegun = state.own_unbegun.saturating_sub(1);
        });
    }

    /// Records the end of an attempt and its outcome.
    pub fn finish_attempt(&mut self, incarnation: &str, outcome: AttemptOutcome, now: Instant) {
        self.record_gone(incarnation, outcome, now);
        let is_unused = self.servers.update(incarnation, |state| {
            state.end_request();
            state.record_outcome(outcome, now);
            state.is_unused()
        });
        if is_unused == Some(true) {
            self.servers.remove(incarnation);
        }
    }

    /// Records what the end of a request tells to which the hub had granted a slot here.
    pub fn record_release(&mut self, release: &Release, now: Instant) {
        self.queue.accounts.correct(release, now);
    }

    /// Records something observed about a server while an attempt still runs.
    pub fn observe(&mut self, incarnation: &str, outcome: AttemptOutcome, now: Instant) {
        self.record_gone(incarnation, outcome, now);
        self.servers
            .update(incarnation, |state| state.record_outcome(outcome, now));
    }

    /// Forgets breaks of a server that were the fault of this host's path to it.
    pub fn forgive_breaks(&mut self, incarnation: &str) {
        self.servers
            .update(incarnation, |state| state.health.forgive_breaks());
    }

    /// Records an incarnation as draining if the outcome shows that it is gone.
    fn record_gone(&mut self, incarnation: &str, outcome: AttemptOutcome, now: Instant) {
        let state = self.servers.get(incarnation);
        if let Some(server) = state.map(|state| Arc::clone(&state.server))
            && outcome == AttemptOutcome::Gone
        {
            self.record_notice(&server, Notice::Draining, now);
        }
    }
}

/// # Assignments
impl Pool {
    /// The backoffs that servers have asked this host for, and when they end.
    pub(super) fn backoffs(&self, now: Instant) -> Vec<(Arc<str>, Instant)> {
        let backoffs = self.notices.backing_off(now);
        let backoffs = backoffs.map(|(incarnation, remaining)| (incarnation, now + remaining));
        backoffs.collect()
    }

    /// How many requests are queued.
    #[must_use]
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Adds a request to the queue at `now`. Returns its ticket, and the ticket of the request that is rejected if the
    /// queue is too long.
    pub fn enqueue(&mut self, mut request: Request, now: Instant) -> (Ticket, Option<Ticket>) {
        let mut versions = self.versions.iter();
        if versions.all(|version| request.allows_version(version)) {
            // It is placed like all others. If another version appears while it waits, its gateway does not send it there.
            request.allowed_versions = None;
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.forecast.record_arrival(request.rank, now);
        if let Some(in_flight) = self.servers.in_flight_mut() {
            in_flight.record_request(&request, now);
        }
        self.queue.add(ticket, request, now);
        let is_too_long = self.queue.len() > self.tuning.max_queued;
        let rejected = if is_too_long {
            self.queue.first_dropped()
        } else {
            None
        };
        if let Some(rejected) = rejected {
            self.queue.remove(rejected);
        }
        (ticket, rejected)
    }

    /// Removes a request from the queue; false if it is not queued any more.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket)
    }

    /// Assigns queued requests to servers with room.
    pub fn assign(&mut self, now: Instant) -> Vec<Assignment> {
        let mut assignments = Vec::new();
        let backoffs = self.backoffs(now);
        self.queue.demote_late(now);
        self.begin_pass();
        let mut order = if self.has_room() {
            self.queue.order()
        } else {
            Order::default()
        };
        while self.has_room()
            && self.assignments_left != Some(0)
            && let Some((position, ())) = order.next()
            && let Some(request) = self.queue.get(&position)
        {
            let (ticket, is_restricted) = (position.ticket, request.is_restricted());
            let request = request.with_backoffs(&backoffs).into_owned();
            if self.is_blocked(&position) {
                break;
            }
            self.begin_decision(position);
            let Some(index) = self.choose_server(&request, now) else {
                // Only this request is excluded from some servers; the next one may be sent to those.
                if !is_restricted && !self.is_passed_over() {
                    break;
                }
                continue;
            };
            order.serve();
            self.queue.serve(&position, now);
            self.forecast.record_assignment(now);
            self.spend_trial_request(index);
            self.assignments_left = self.assignments_left.map(|left| left - 1);
            // A server's rate limit applies to all hosts together, while each host sees its own requests only. It is
            // therefore enforced where the slots of all hosts are granted.
            let charged_to_limit = self.limits.acquire(&self.servers.at(index).server, now);
            self.record_placement(index, ticket, &request, now);
            self.servers.update_at(index, |state| {
                state.health.record_assignment(now);
                let (in_flight, slots) = (state.in_flight(), state.server.slots.max(1));
                state.limit.record_start(in_flight, slots, now);
                state.start_request(request.prompt);
            });
            assignments.push(Assignment {
                ticket,
                server: Arc::clone(&self.servers.at(index).server),
                prompt: request.prompt,
                charged_to_limit,
            });
        }
        let waits_for_limits = self.queue.len() > 0 && self.has_room_beyond_limits(now);
        self.limit_wait.set(waits_for_limits, now);
        assignments
    }

    /// Whether a server may get another request at `now`, by the limits that it announced and by its measured work.
    pub(super) fn admits(&self, state: &ServerState, now: Instant) -> bool {
        // A request beyond the slots is rejected if the server lets none wait.
        let may_reject = self.rejection_limit.is_none_or(|limit| {
            let has_slot = state.in_flight() < state.server.slots.max(1);
            has_slot && limit.allows(state.exposure + state.own_unbegun)
        });
        may_reject && state.admits(now) && self.limits.admits(&state.server, now)
    }

    /// Whether a server has room but has used up its rate limit.
    fn has_room_beyond_limits(&self, now: Instant) -> bool {
        let mut free = self.servers.free().iter();
        let is_limited = |index: &usize| !self.limits.admits(&self.servers.at(*index).server, now);
        !self.limits.is_empty() && free.any(is_limited)
    }

    /// The slot time of each customer since the last call, if customers have shares.
    pub fn take_slot_usage(&mut self) -> BTreeMap<Option<id::Customer>, SlotUsage> {
        self.queue.accounts.take_usage()
    }

    /// How long requests were queued although a server had room, because its rate limit was used up, since the last
    /// call.
    pub fn take_limit_wait(&mut self) -> Duration {
        self.limit_wait.take()
    }
}

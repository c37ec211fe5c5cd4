//! How the hub handles roll-outs and evacuations: it grants slots accordingly, observes responses,
//! and proposes the next steps.

use crate::clock::Instant;
use crate::evacuation::EvacuatedHalls;
use crate::id;
use crate::rollout::Conditions;
use crate::rollout::Order;
use crate::rollout::Plans;
use crate::rollout::Policy;
use crate::rollout::Step;
use crate::rollout::Version;

use super::AttemptEnd;
use super::Hub;
use super::Poll;
use super::Server;
use super::ServerList;

/// # Roll-outs
impl Hub {
    /// Applies the committed roll-outs. `now_ms` is the Unix time, and `own` the order that was
    /// accepted under this hub.
    pub fn apply_plans(&mut self, plans: &Plans, own: Option<&Order>, now_ms: u64, now: Instant) {
        self.trials.apply_plans(plans, own, now_ms, now);
        self.refresh_policy();
    }

    /// Applies the committed evacuations of data halls.
    pub fn apply_evacuations(&mut self, halls: &EvacuatedHalls) {
        self.evacuated = halls.clone();
        self.refresh_policy();
    }

    /// Recomputes the policy and the servers at which slots are granted.
    fn refresh_policy(&mut self) {
        self.policy = self
            .trials
            .get_policy()
            .clone()
            .with_evacuated(&self.evacuated);
        let admitted = self.admitted_servers(&self.server_list);
        self.dispatcher.set_servers(&admitted, &self.limits);
    }

    /// Returns the steps of roll-outs that are to be committed now, with the reason for each.
    pub fn propose_rollout_steps(&mut self, now: Instant) -> Vec<(Step, String)> {
        let established = self
            .trials
            .propose_established(&self.server_list, now)
            .into_iter();
        let mut steps: Vec<_> = established.map(|step| (step, String::new())).collect();
        let is_policy_applied = self.is_policy_applied(now);
        let mut trials = std::mem::take(&mut self.trials);
        let conditions = |service: &_, target: &_| Conditions {
            is_policy_applied,
            ..self.conditions(service, target)
        };
        steps.extend(trials.propose_steps(conditions, now));
        self.trials = trials;
        steps
    }

    /// Returns the servers of a list at which the hub grants slots.
    pub(super) fn admitted_servers(&self, server_list: &ServerList) -> ServerList {
        let servers = server_list.servers.iter();
        let admitted = servers.filter(|server| {
            self.trials.admits(server) && !self.evacuated.is_evacuated(&server.hall)
        });
        ServerList::new(admitted.cloned().collect())
    }

    /// Returns the policy on server versions and data halls if the gateway applies another one.
    pub(super) fn policy_update(&self, poll: &Poll) -> Option<Policy> {
        let has_update = self.has_policy_update(poll);
        has_update.then(|| self.policy.clone())
    }

    /// Returns whether the gateway applies another policy than the active one. Before there is a
    /// policy, none is sent.
    pub(super) fn has_policy_update(&self, poll: &Poll) -> bool {
        let version = self.policy.version;
        version != 0 && version != poll.policy_version
    }

    /// Records the outcomes of attempts on a version on trial and on the version that it is to replace.
    pub(super) fn observe_outcomes(&mut self, attempts: &[AttemptEnd]) {
        for attempt in attempts {
            if !self.trials.is_active(&attempt.service) {
                continue;
            }
            let server = self
                .dispatcher
                .server(&attempt.service, &attempt.incarnation);
            let Some(version) = server.map(|server| server.version.clone()) else {
                continue;
            };
            if self.tracker.explains(&attempt.incarnation, &version) {
                continue;
            }
            let servers = self.accepting_servers(&attempt.service);
            let server_count = servers.filter(|server| server.version == version).count();
            self.trials
                .record_attempt_end(attempt, &version, server_count);
        }
    }

    /// Returns the servers of a service that accept new work.
    fn accepting_servers(&self, service: &id::Service) -> impl Iterator<Item = &Server> {
        let servers = self.server_list.servers.iter();
        servers.filter(move |server| server.service == *service && !server.leaving)
    }

    /// Returns the conditions of a roll-out of `service` to `target`.
    fn conditions(&self, service: &id::Service, target: &Version) -> Conditions {
        let mut conditions = Conditions::default();
        for server in self
            .server_list
            .servers
            .iter()
            .filter(|server| server.service == *service)
        {
            let in_flight = self.dispatcher.in_flight(&server.incarnation);
            let slots = if server.leaving { 0 } else { server.slots };
            conditions.in_flight += in_flight;
            if server.version == *target {
                conditions.target_slots += slots;
                conditions.target_servers += usize::from(slots > 0);
            } else {
                conditions.former_slots += slots;
                conditions.in_flight_at_former += in_flight;
            }
        }
        conditions
    }

    /// Returns whether every known gateway applies the active policy.
    ///
    /// A new hub waits until all gateways have had time to poll it.
    fn is_policy_applied(&self, now: Instant) -> bool {
        let version = self.policy.version;
        let all_apply = self
            .gateways
            .values()
            .all(|state| state.policy_version == version);
        all_apply && now.since(self.started) >= self.tuning.gateway_timeout * 2
    }
}

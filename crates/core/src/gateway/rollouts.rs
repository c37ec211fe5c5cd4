//! What the hub does for roll-outs and evacuations: it gives places by them, watches answers, and says what is to be
//! agreed.

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
    /// Takes up the roll-outs as they are agreed; `now_ms` is the Unix time, `own` the order that was taken
    /// under this hub.
    pub fn apply_plans(&mut self, plans: &Plans, own: Option<&Order>, now_ms: u64, now: Instant) {
        self.trials.apply_plans(plans, own, now_ms, now);
        self.refresh_policy();
    }

    /// Takes up which data halls are evacuated, as it is agreed.
    pub fn apply_evacuations(&mut self, halls: &EvacuatedHalls) {
        self.evacuated = halls.clone();
        self.refresh_policy();
    }

    /// Works out anew who may send where.
    fn refresh_policy(&mut self) {
        self.policy = self
            .trials
            .get_policy()
            .clone()
            .with_evacuated(&self.evacuated);
        let admitted = self.admitted_servers(&self.listing);
        self.dispatcher.adopt(&admitted, &self.limits);
    }

    /// The steps of roll-outs that are to be agreed now, with what speaks for each.
    pub fn propose_rollout_steps(&mut self, now: Instant) -> Vec<(Step, String)> {
        let established = self
            .trials
            .propose_established(&self.listing, now)
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

    /// What of a list the hub gives places at.
    pub(super) fn admitted_servers(&self, listing: &ServerList) -> ServerList {
        let servers = listing.servers.iter();
        let admitted = servers.filter(|server| {
            self.trials.admits(server) && !self.evacuated.is_evacuated(&server.hall)
        });
        ServerList::new(admitted.cloned().collect())
    }

    /// The policy on versions and halls, where the asker goes by another.
    pub(super) fn policy_update(&self, question: &Poll) -> Option<Policy> {
        let is_other = self.has_policy_update(question);
        is_other.then(|| self.policy.clone())
    }

    /// Whether the asker goes by another policy than the one in force; before there is one, by none.
    pub(super) fn has_policy_update(&self, question: &Poll) -> bool {
        let version = self.policy.version;
        version != 0 && version != question.policy_version
    }

    /// Takes up what answers show of a version on trial, and of the one beside it.
    pub(super) fn observe_outcomes(&mut self, ends: &[AttemptEnd]) {
        for ended in ends {
            if !self.trials.is_active(&ended.service) {
                continue;
            }
            let server = self.dispatcher.server(&ended.service, &ended.incarnation);
            let Some(version) = server.map(|server| server.version.clone()) else {
                continue;
            };
            let servers = self.accepting_servers(&ended.service);
            let servers = servers.filter(|server| server.version == version).count();
            self.trials.record_attempt_end(ended, &version, servers);
        }
    }

    /// The servers of a service that take new work.
    fn accepting_servers(&self, service: &id::Service) -> impl Iterator<Item = &Server> {
        let servers = self.listing.servers.iter();
        servers.filter(move |server| server.service == *service && !server.leaving)
    }

    /// What there is around a roll-out of `service` to `target`.
    fn conditions(&self, service: &id::Service, target: &Version) -> Conditions {
        let mut conditions = Conditions::default();
        for server in self
            .listing
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

    /// Whether every gateway goes by the policy in force, as far as this hub knows of gateways.
    ///
    /// A hub that has only begun has not heard them all yet.
    fn is_policy_applied(&self, now: Instant) -> bool {
        let version = self.policy.version;
        let all = self.seen.values().all(|seen| seen.policy == version);
        all && now.since(self.began) >= self.tuning.gateway_timeout * 2
    }
}

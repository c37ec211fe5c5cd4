//! What the hub does for roll-outs and evacuations: it gives places by them, watches answers, and says what is to be
//! agreed.

use crate::clock::Instant;
use crate::evacuation::EvacuatedHalls;
use crate::id;
use crate::rollout::Order;
use crate::rollout::Plans;
use crate::rollout::Policy;
use crate::rollout::Scene;
use crate::rollout::Step;
use crate::rollout::Version;

use super::Ended;
use super::Hub;
use super::Listing;
use super::Question;
use super::Server;

/// # Roll-outs
impl Hub {
    /// Takes up the roll-outs as they are agreed; `now_ms` is the Unix time, `own` the order that was taken
    /// under this hub.
    pub fn adopt_plans(&mut self, plans: &Plans, own: Option<&Order>, now_ms: u64, now: Instant) {
        self.trials.adopt(plans, own, now_ms, now);
        self.renew_policy();
    }

    /// Takes up which data halls are evacuated, as it is agreed.
    pub fn adopt_evacuated(&mut self, halls: &EvacuatedHalls) {
        self.evacuated = halls.clone();
        self.renew_policy();
    }

    /// Works out anew who may send where.
    fn renew_policy(&mut self) {
        self.policy = self.trials.get_policy().clone().closing(&self.evacuated);
        let admitted = self.admitted(&self.listing);
        self.dispatcher.adopt(&admitted, &self.limits);
    }

    /// The steps of roll-outs that are to be agreed now, with what speaks for each.
    pub fn tend_rollouts(&mut self, now: Instant) -> Vec<(Step, String)> {
        let established = self.trials.establish(&self.listing, now).into_iter();
        let mut steps: Vec<_> = established.map(|step| (step, String::new())).collect();
        let is_known = self.is_known(now);
        let mut trials = std::mem::take(&mut self.trials);
        let scene = |service: &_, target: &_| Scene {
            is_known,
            ..self.scene(service, target)
        };
        steps.extend(trials.tend(scene, now));
        self.trials = trials;
        steps
    }

    /// What of a list the hub gives places at.
    pub(super) fn admitted(&self, listing: &Listing) -> Listing {
        let servers = listing.servers.iter();
        let admitted = servers.filter(|server| {
            self.trials.admits(server) && !self.evacuated.is_evacuated(&server.hall)
        });
        Listing::new(admitted.cloned().collect())
    }

    /// The policy on versions and halls, where the asker goes by another.
    pub(super) fn policy_for(&self, question: &Question) -> Option<Policy> {
        let is_other = self.has_other_policy(question);
        is_other.then(|| self.policy.clone())
    }

    /// Whether the asker goes by another policy than the one in force; before there is one, by none.
    pub(super) fn has_other_policy(&self, question: &Question) -> bool {
        let version = self.policy.version;
        version != 0 && version != question.policy
    }

    /// Takes up what answers show of a version on trial, and of the one beside it.
    pub(super) fn watch(&mut self, ends: &[Ended]) {
        for ended in ends {
            if !self.trials.is_under_way(&ended.service) {
                continue;
            }
            let server = self.dispatcher.server(&ended.service, &ended.incarnation);
            let Some(version) = server.map(|server| server.version.clone()) else {
                continue;
            };
            let servers = self.takers(&ended.service);
            let servers = servers.filter(|server| server.version == version).count();
            self.trials.ended(ended, &version, servers);
        }
    }

    /// The servers of a service that take new work.
    fn takers(&self, service: &id::Service) -> impl Iterator<Item = &Server> {
        let servers = self.listing.servers.iter();
        servers.filter(move |server| server.service == *service && !server.leaving)
    }

    /// What there is around a roll-out of `service` to `target`.
    fn scene(&self, service: &id::Service, target: &Version) -> Scene {
        let mut scene = Scene::default();
        for server in self
            .listing
            .servers
            .iter()
            .filter(|server| server.service == *service)
        {
            let in_flight = self.dispatcher.in_flight(&server.incarnation);
            let slots = if server.leaving { 0 } else { server.slots };
            scene.in_flight += in_flight;
            if server.version == *target {
                scene.target_slots += slots;
                scene.target_servers += usize::from(slots > 0);
            } else {
                scene.former_slots += slots;
                scene.at_former += in_flight;
            }
        }
        scene
    }

    /// Whether every gateway goes by the policy in force, as far as this hub knows of gateways.
    ///
    /// A hub that has only begun has not heard them all yet.
    fn is_known(&self, now: Instant) -> bool {
        let version = self.policy.version;
        let all = self.seen.values().all(|seen| seen.policy == version);
        all && now.since(self.began) >= self.tuning.silent * 2
    }
}

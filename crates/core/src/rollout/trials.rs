//! The active roll-outs of all services at the hub.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::gateway::AttemptEnd;
use crate::gateway::Server;
use crate::gateway::ServerList;
use crate::id;
use crate::pool::TrialVersion;

use super::Bounds;
use super::Conditions;
use super::Order;
use super::Plans;
use super::Policy;
use super::Sample;
use super::Step;
use super::Trial;
use super::Version;

/// The time after which a step that was proposed and not committed is proposed again: longer than
/// several elections take.
const REPROPOSE_INTERVAL: Duration = Duration::from_secs(1);

/// An active roll-out.
#[derive(Clone, Debug)]
struct ActiveRollout {
    target: Version,
    /// The age of the order when this hub first learned of it, and when that was.
    first_seen: (Duration, Instant),
    trial: Trial,
    /// When a step was proposed that is not committed yet.
    proposed_at: Option<Instant>,
}

/// The active roll-outs at the hub. Without bounds there are none, and every version serves.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    bounds: Option<Bounds>,
    plans: Plans,
    policy: Policy,
    active: BTreeMap<id::Service, ActiveRollout>,
    /// When it was proposed to establish the versions of a service, by service, until that is
    /// committed.
    establishing_since: BTreeMap<id::Service, Instant>,
    /// The version of the last server list of which all services are established. Scanning 3,000
    /// servers again each time would take a hundredth of a small host's core.
    established_list_version: u64,
}

impl Trials {
    /// Creates the state without roll-outs; there will never be any if there are no `bounds` for a
    /// version on trial.
    #[must_use]
    pub fn new(bounds: Option<Bounds>) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// Applies the committed `plans`.
    ///
    /// `own` is the order that was accepted under this hub, `now_ms` the Unix time.
    pub fn apply_plans(&mut self, plans: &Plans, own: Option<&Order>, now_ms: u64, now: Instant) {
        let Some(bounds) = self.bounds else { return };
        self.plans = plans.clone();
        self.policy = Policy::from_plans(plans);
        self.established_list_version = 0;
        self.establishing_since
            .retain(|service, _| plans.serving_versions(service).is_none());
        let mut previous = std::mem::take(&mut self.active);
        for (order, phase) in plans.active_orders() {
            let known = previous.remove(&order.service);
            let known = known.filter(|known| known.target == order.target);
            let mut rollout = known.unwrap_or_else(|| ActiveRollout {
                target: order.target.clone(),
                first_seen: (order.age(now_ms), now),
                trial: Trial::new(order.duration, phase, bounds, own == Some(order)),
                proposed_at: None,
            });
            rollout.trial.set_phase(phase);
            rollout.proposed_at = None;
            self.active.insert(order.service.clone(), rollout);
        }
    }

    /// The versions that gateways may send requests to by a local decision.
    #[must_use]
    pub fn get_policy(&self) -> &Policy {
        &self.policy
    }

    /// Whether the hub may grant slots of `server`: it runs a version that serves, or a target.
    #[must_use]
    pub fn admits(&self, server: &Server) -> bool {
        let rollout = self.active.get(&server.service);
        let is_target = rollout.is_some_and(|rollout| rollout.target == server.version);
        is_target || self.policy.allows(server)
    }

    /// The services with a version on trial, with the requests that it may get now.
    pub fn on_trial(&self) -> impl Iterator<Item = (&id::Service, TrialVersion)> {
        self.active.iter().filter_map(|(service, rollout)| {
            let on_trial = TrialVersion {
                version: rollout.target.clone(),
                remaining_requests: rollout.trial.credit()?,
                under_sampled_rules: rollout.trial.untrusted_rules(),
            };
            Some((service, on_trial))
        })
    }

    /// Records that a request is granted a slot of `server`.
    pub fn record_grant(&mut self, server: &Server) {
        if let Some(rollout) = self.active.get_mut(&server.service)
            && rollout.target == server.version
        {
            rollout.trial.spend();
        }
    }

    /// Whether a roll-out of `service` is active, so that the outcomes of its attempts are needed.
    #[must_use]
    pub fn is_active(&self, service: &id::Service) -> bool {
        self.active.contains_key(service)
    }

    /// Records the end of an attempt on a server of `version`, which has `server_count` servers.
    pub fn record_attempt_end(
        &mut self,
        ended: &AttemptEnd,
        version: &Version,
        server_count: usize,
    ) {
        let Some(rollout) = self.active.get_mut(&ended.service) else {
            return;
        };
        let tag = ended.rollout.as_ref();
        let Some(tag) = tag.filter(|tag| tag.target == rollout.target) else {
            return;
        };
        let sample = Sample {
            rule: Arc::clone(&tag.rule),
            server: Arc::clone(&ended.incarnation),
            outcome: ended.outcome,
        };
        if rollout.target == *version {
            rollout.trial.record_target(&sample, server_count);
        } else {
            rollout.trial.record_former(&sample);
        }
    }

    /// The steps that are to be committed now, each with its reason.
    ///
    /// `conditions` returns the state of a service for a roll-out to the given target version,
    /// without the age of the order.
    pub fn propose_steps(
        &mut self,
        conditions: impl Fn(&id::Service, &Version) -> Conditions,
        now: Instant,
    ) -> Vec<(Step, String)> {
        let mut steps = Vec::new();
        for (service, rollout) in &mut self.active {
            if rollout
                .proposed_at
                .is_some_and(|at| now.since(at) < REPROPOSE_INTERVAL)
            {
                continue;
            }
            let mut conditions = conditions(service, &rollout.target);
            let (age, since) = rollout.first_seen;
            conditions.age = age + now.since(since);
            if let Some((phase, why)) = rollout.trial.next_phase(&conditions) {
                rollout.proposed_at = Some(now);
                let step = Step::Advanced {
                    service: service.clone(),
                    target: rollout.target.clone(),
                    phase,
                };
                steps.push((step, why));
            }
        }
        steps
    }

    /// The steps that establish which versions serve the services that are seen on a server list
    /// for the first time.
    ///
    /// All versions that run when a service is first seen serve it, except a target that was
    /// ordered before: the platform starts its servers for the roll-out.
    pub fn propose_established(&mut self, server_list: &ServerList, now: Instant) -> Vec<Step> {
        if self.bounds.is_none() || self.established_list_version == server_list.version {
            return Vec::new();
        }
        let mut seen: BTreeMap<&id::Service, BTreeSet<Version>> = BTreeMap::new();
        for server in &server_list.servers {
            if self.plans.serving_versions(&server.service).is_none() {
                let versions = seen.entry(&server.service).or_default();
                versions.insert(server.version.clone());
            }
        }
        for (service, versions) in &mut seen {
            // If only the target runs, it has to serve: there is no other version.
            if let Some((order, _)) = self.plans.last_order(service)
                && versions.len() > 1
            {
                versions.remove(&order.target);
            }
        }
        if seen.is_empty() {
            self.established_list_version = server_list.version;
        }
        let mut steps = Vec::new();
        for (service, versions) in seen {
            let since = self.establishing_since.get(service);
            if since.is_some_and(|since| now.since(*since) < REPROPOSE_INTERVAL) {
                continue;
            }
            self.establishing_since.insert(service.clone(), now);
            steps.push(Step::Established {
                service: service.clone(),
                versions,
            });
        }
        steps
    }
}

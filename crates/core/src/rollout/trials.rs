//! The roll-outs under way, as the hub sees them.

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

/// After how long a step that was proposed and is not agreed is proposed again: some elections.
const AGAIN: Duration = Duration::from_secs(1);

/// A roll-out under way.
#[derive(Clone, Debug)]
struct ActiveRollout {
    target: Version,
    /// How old the order was when this hub first knew of it, and when that was.
    known: (Duration, Instant),
    trial: Trial,
    /// When a step of it was proposed that is not agreed yet.
    proposed: Option<Instant>,
}

/// The roll-outs under way; without bounds there are none, and every version serves.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    bounds: Option<Bounds>,
    plans: Plans,
    policy: Policy,
    under_way: BTreeMap<id::Service, ActiveRollout>,
    /// The services whose versions are to be established, and since when.
    establishing: BTreeMap<id::Service, Instant>,
    /// The version of the last list of which all services are established: going through 3,000 servers at every
    /// look would take a hundredth of a small host's core.
    settled: u64,
}

impl Trials {
    /// No roll-outs yet; none ever, where no `bounds` say what is borne of a version on trial.
    #[must_use]
    pub fn new(bounds: Option<Bounds>) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// Takes up what is agreed. `now_ms` is the Unix time; `own` the order that was taken under this hub.
    pub fn apply_plans(&mut self, plans: &Plans, own: Option<&Order>, now_ms: u64, now: Instant) {
        let Some(bounds) = self.bounds else { return };
        self.plans = plans.clone();
        self.policy = Policy::from_plans(plans);
        self.settled = 0;
        self.establishing
            .retain(|service, _| plans.serving_versions(service).is_none());
        let mut former = std::mem::take(&mut self.under_way);
        for (order, phase) in plans.active_orders() {
            let known = former.remove(&order.service);
            let known = known.filter(|known| known.target == order.target);
            let mut under_way = known.unwrap_or_else(|| ActiveRollout {
                target: order.target.clone(),
                known: (order.age(now_ms), now),
                trial: Trial::new(order.duration, phase, bounds, own == Some(order)),
                proposed: None,
            });
            under_way.trial.set_phase(phase);
            under_way.proposed = None;
            self.under_way.insert(order.service.clone(), under_way);
        }
    }

    /// What gateways may send to by their own choice.
    #[must_use]
    pub fn get_policy(&self) -> &Policy {
        &self.policy
    }

    /// Whether the hub may give places at `server`.
    #[must_use]
    pub fn admits(&self, server: &Server) -> bool {
        let under_way = self.under_way.get(&server.service);
        let is_target = under_way.is_some_and(|under_way| under_way.target == server.version);
        is_target || self.policy.allows(server)
    }

    /// The services with a version on trial, and what it may get now.
    pub fn on_trial(&self) -> impl Iterator<Item = (&id::Service, TrialVersion)> {
        self.under_way.iter().filter_map(|(service, under_way)| {
            let on_trial = TrialVersion {
                version: under_way.target.clone(),
                remaining_requests: under_way.trial.credit()?,
                under_sampled_rules: under_way.trial.untrusted_rules(),
            };
            Some((service, on_trial))
        })
    }

    /// A request is given a place at `server`.
    pub fn record_grant(&mut self, server: &Server) {
        if let Some(under_way) = self.under_way.get_mut(&server.service)
            && under_way.target == server.version
        {
            under_way.trial.spend();
        }
    }

    /// Whether what answers of a service show is asked for.
    #[must_use]
    pub fn is_active(&self, service: &id::Service) -> bool {
        self.under_way.contains_key(service)
    }

    /// Takes up how a sending ended at a server of `version`; the target has so many `servers`.
    pub fn record_attempt_end(&mut self, ended: &AttemptEnd, version: &Version, servers: usize) {
        let Some(under_way) = self.under_way.get_mut(&ended.service) else {
            return;
        };
        let watched = ended.rollout.as_ref();
        let Some(watched) = watched.filter(|watched| watched.target == under_way.target) else {
            return;
        };
        let sample = Sample {
            rule: Arc::clone(&watched.rule),
            server: Arc::clone(&ended.incarnation),
            outcome: ended.outcome,
        };
        if under_way.target == *version {
            under_way.trial.record_target(&sample, servers);
        } else {
            under_way.trial.record_former(&sample);
        }
    }

    /// The steps that are to be agreed now, with what speaks for each; `conditions` tells what there is around a
    /// service whose target is this version.
    pub fn propose_steps(
        &mut self,
        conditions: impl Fn(&id::Service, &Version) -> Conditions,
        now: Instant,
    ) -> Vec<(Step, String)> {
        let mut steps = Vec::new();
        for (service, under_way) in &mut self.under_way {
            if under_way.proposed.is_some_and(|at| now.since(at) < AGAIN) {
                continue;
            }
            let mut conditions = conditions(service, &under_way.target);
            let (age, since) = under_way.known;
            conditions.age = age + now.since(since);
            if let Some((phase, why)) = under_way.trial.next_phase(&conditions) {
                under_way.proposed = Some(now);
                let step = Step::Advanced {
                    service: service.clone(),
                    target: under_way.target.clone(),
                    phase,
                };
                steps.push((step, why));
            }
        }
        steps
    }

    /// The steps that establish the versions of services on a list for the first time.
    ///
    /// Whatever runs when a service is first seen serves it, but for a version that was ordered before: the
    /// platform starts the servers of that one for the order.
    pub fn propose_established(&mut self, listing: &ServerList, now: Instant) -> Vec<Step> {
        if self.bounds.is_none() || self.settled == listing.version {
            return Vec::new();
        }
        let mut seen: BTreeMap<&id::Service, BTreeSet<Version>> = BTreeMap::new();
        for server in &listing.servers {
            if self.plans.serving_versions(&server.service).is_none() {
                let versions = seen.entry(&server.service).or_default();
                versions.insert(server.version.clone());
            }
        }
        for (service, versions) in &mut seen {
            // Where nothing else runs, nothing else can serve.
            if let Some((order, _)) = self.plans.last_order(service)
                && versions.len() > 1
            {
                versions.remove(&order.target);
            }
        }
        if seen.is_empty() {
            self.settled = listing.version;
        }
        let mut steps = Vec::new();
        for (service, versions) in seen {
            let since = self.establishing.get(service);
            if since.is_some_and(|since| now.since(*since) < AGAIN) {
                continue;
            }
            self.establishing.insert(service.clone(), now);
            steps.push(Step::Established {
                service: service.clone(),
                versions,
            });
        }
        steps
    }
}

//! The versions and data halls that gateways may send requests to without asking the hub.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::evacuation::EvacuatedHalls;
use crate::gateway::Server;
use crate::gateway::content_hash;
use crate::id;

use super::Phase;
use super::Plans;
use super::Version;

/// The versions that gateways may send requests to by a local decision, without the hub.
///
/// Servers of other versions receive requests only with a slot granted by the hub; servers in an
/// evacuated data hall receive none at all. A gateway that can't reach the hub keeps to the last
/// policy that it received. So a version that goes on trial meanwhile gets no requests from it,
/// though the gateway doesn't know of the roll-out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Policy {
    /// A hash of the content, not an increasing number; 0 stands for no policy.
    pub version: u64,
    /// The allowed versions by service; for a service that isn't listed, all are.
    allowed_versions: BTreeMap<id::Service, BTreeSet<Version>>,
    /// The target versions of active roll-outs, by service.
    rollout_targets: BTreeMap<id::Service, Version>,
    /// The evacuated data halls.
    evacuated: BTreeSet<Arc<str>>,
}

impl Policy {
    /// Creates the policy that follows from the committed `plans`.
    #[must_use]
    pub fn from_plans(plans: &Plans) -> Self {
        let mut policy = Self::default();
        for service in plans.services() {
            let last = plans.last_order(service);
            if let Some((order, Phase::Moving)) = last {
                let target = [order.target.clone()].into();
                policy.allowed_versions.insert(service.clone(), target);
            } else if let Some(serving) = plans.serving_versions(service) {
                policy
                    .allowed_versions
                    .insert(service.clone(), serving.clone());
            } else if last.is_some() {
                // The roll-out was ordered before any server of the service was seen. The first one
                // may run the target version, so no version is allowed yet.
                policy
                    .allowed_versions
                    .insert(service.clone(), BTreeSet::new());
            }
            if let Some((order, phase)) = last
                && !phase.is_final()
            {
                policy
                    .rollout_targets
                    .insert(service.clone(), order.target.clone());
            }
        }
        policy.with_content_version()
    }

    /// Returns the policy with these data halls evacuated instead of its own.
    #[must_use]
    pub fn with_evacuated(self, halls: &EvacuatedHalls) -> Self {
        let evacuated = halls.iter().map(|(hall, _)| Arc::clone(hall)).collect();
        Self { evacuated, ..self }.with_content_version()
    }

    /// Sets the version to the hash of the content.
    fn with_content_version(mut self) -> Self {
        self.version = 0;
        self.version = content_hash(&self).max(1);
        self
    }

    /// Whether `hall` is evacuated: no request may be sent to its servers, even with a slot from
    /// the hub.
    #[must_use]
    pub fn is_evacuated(&self, hall: &str) -> bool {
        self.evacuated.contains(hall)
    }

    /// Whether a gateway may send requests to `server` by a local decision, without the hub.
    #[must_use]
    pub fn allows(&self, server: &Server) -> bool {
        if self.is_evacuated(&server.hall) {
            return false;
        }
        let allowed = self.allowed_versions.get(&server.service);
        allowed.is_none_or(|allowed| allowed.contains(&server.version))
    }

    /// The target version of the active roll-out of `service`, if any.
    ///
    /// While there is one, gateways report how requests to the service ended.
    #[must_use]
    pub fn rollout_target(&self, service: &id::Service) -> Option<&Version> {
        self.rollout_targets.get(service)
    }
}

//! The versions and data halls that gateways may send to by their own choice.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::evacuation::EvacuatedHalls;
use crate::gateway::Server;
use crate::gateway::version;
use crate::id;

use super::Phase;
use super::Plans;
use super::Version;

/// The versions that gateways may send to by their own choice; servers of others only with a place that the
/// hub gives. In a data hall that is evacuated, to none at all.
///
/// A gateway that is cut off goes by the last one that it heard. So a version on trial gets nothing from it,
/// whatever it does not know.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Policy {
    /// Tells one content from another; not an order. 0 stands for none.
    pub version: u64,
    /// By service; one that is not named has no such bound.
    allowed_versions: BTreeMap<id::Service, BTreeSet<Version>>,
    /// The services with a roll-out under way, and the version that it is to.
    rollout_targets: BTreeMap<id::Service, Version>,
    /// The data halls that are evacuated.
    evacuated: BTreeSet<Arc<str>>,
}

impl Policy {
    /// What follows from `plans`.
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
                // Ordered before any server of the service was seen: it may be the target's.
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

    /// The same, with these data halls evacuated.
    #[must_use]
    pub fn with_evacuated(self, halls: &EvacuatedHalls) -> Self {
        let evacuated = halls.iter().map(|(hall, _)| Arc::clone(hall)).collect();
        Self { evacuated, ..self }.with_content_version()
    }

    fn with_content_version(mut self) -> Self {
        self.version = 0;
        self.version = version(&self).max(1);
        self
    }

    /// Whether no request may be sent to the servers of `hall`, whoever gave the place.
    #[must_use]
    pub fn is_evacuated(&self, hall: &str) -> bool {
        self.evacuated.contains(hall)
    }

    /// Whether a gateway may send to `server` by its own choice.
    #[must_use]
    pub fn allows(&self, server: &Server) -> bool {
        if self.is_evacuated(&server.hall) {
            return false;
        }
        let open = self.allowed_versions.get(&server.service);
        open.is_none_or(|open| open.contains(&server.version))
    }

    /// The version to which a roll-out of `service` is under way, so that what its answers show is asked for.
    #[must_use]
    pub fn rollout_target(&self, service: &id::Service) -> Option<&Version> {
        self.rollout_targets.get(service)
    }
}

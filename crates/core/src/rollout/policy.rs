//! The versions and data halls that gateways may send to by their own choice.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::evacuation::Halls;
use crate::gateway::Server;
use crate::gateway::content_hash;
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
    open: BTreeMap<id::Service, BTreeSet<Version>>,
    /// The services with a roll-out under way, and the version that it is to.
    watched: BTreeMap<id::Service, Version>,
    /// The data halls that are evacuated.
    closed: BTreeSet<Arc<str>>,
}

impl Policy {
    /// What follows from `plans`.
    #[must_use]
    pub fn of(plans: &Plans) -> Self {
        let mut policy = Self::default();
        for service in plans.services() {
            let last = plans.get(service);
            if let Some((order, Phase::Moving)) = last {
                let target = [order.target.clone()].into();
                policy.open.insert(service.clone(), target);
            } else if let Some(serving) = plans.serving(service) {
                policy.open.insert(service.clone(), serving.clone());
            } else if last.is_some() {
                // Ordered before any server of the service was seen: it may be the target's.
                policy.open.insert(service.clone(), BTreeSet::new());
            }
            if let Some((order, phase)) = last
                && !phase.is_end()
            {
                policy.watched.insert(service.clone(), order.target.clone());
            }
        }
        policy.number()
    }

    /// The same, with these data halls evacuated.
    #[must_use]
    pub fn closing(self, halls: &Halls) -> Self {
        let closed = halls.iter().map(|(hall, _)| Arc::clone(hall)).collect();
        Self { closed, ..self }.number()
    }

    fn number(mut self) -> Self {
        self.version = 0;
        self.version = content_hash(&self).max(1);
        self
    }

    /// Whether no request may be sent to the servers of `hall`, whoever gave the place.
    #[must_use]
    pub fn closes(&self, hall: &str) -> bool {
        self.closed.contains(hall)
    }

    /// Whether a gateway may send to `server` by its own choice.
    #[must_use]
    pub fn is_open(&self, server: &Server) -> bool {
        if self.closes(&server.hall) {
            return false;
        }
        let open = self.open.get(&server.service);
        open.is_none_or(|open| open.contains(&server.version))
    }

    /// The version to which a roll-out of `service` is under way, so that what its answers show is asked for.
    #[must_use]
    pub fn watched(&self, service: &id::Service) -> Option<&Version> {
        self.watched.get(service)
    }
}

//! The versions at which streams may begin, by service.

use std::collections::BTreeMap;
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::content_hash;
use crate::id;
use crate::rollout::Version;

use super::Origin;

/// How long after it has sent a poll a gateway may rely on the versions in the reply being all at which streams have
/// begun.
pub const SOLE_VERSION_LEASE: Duration = Duration::from_secs(1);

/// Whether streams may begin at a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Not yet: some gateways may still believe that the service has another version only.
    Announced,
    /// Streams may begin there.
    Open,
}

/// What a committed step does to a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// It is known. It is announced first if its service has a single version so far, as gateways may rely on that.
    Add,
    /// It was announced long enough.
    Open,
    /// No caller can resume a stream that began there any more.
    Remove,
}

/// A committed change of the versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The service.
    pub service: id::Service,
    /// The version.
    pub version: Version,
    /// What changes.
    pub change: Change,
}

/// The versions at which streams may have begun, by service. Every replica computes the same value from the log.
///
/// A version is committed here before the first stream begins at it, so that the committed versions of a service are
/// never fewer than those that callers hold events of.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Versions(BTreeMap<id::Service, BTreeMap<Version, Phase>>);

/// The versions as the hub sends them to gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// A hash of the content; 0 before there is any.
    pub number: u64,
    /// The versions.
    pub versions: Versions,
}

impl Versions {
    /// Applies a committed step.
    pub fn apply(&mut self, step: &Step) {
        let first_phase = self.first_phase(&step.service);
        let versions = self.0.entry(step.service.clone()).or_default();
        match step.change {
            Change::Add => {
                versions.entry(step.version.clone()).or_insert(first_phase);
            }
            Change::Open => {
                if let Some(phase) = versions.get_mut(&step.version) {
                    *phase = Phase::Open;
                }
            }
            Change::Remove => {
                versions.remove(&step.version);
            }
        }
        self.0.retain(|_, versions| !versions.is_empty());
    }

    /// Returns the phase of a version, or nothing if it is not known.
    #[must_use]
    pub fn phase(&self, service: &id::Service, version: &Version) -> Option<Phase> {
        self.0.get(service)?.get(version).copied()
    }

    /// The phase in which a version that is not known starts.
    ///
    /// Nobody relies on a service having a single version if it has none or several. Where it has one, a second is
    /// announced first.
    fn first_phase(&self, service: &id::Service) -> Phase {
        let is_first = !self.0.contains_key(service);
        if is_first || self.open(service).len() > 1 {
            Phase::Open
        } else {
            Phase::Announced
        }
    }

    /// Returns the versions at which streams of a service may begin.
    #[must_use]
    pub fn open(&self, service: &id::Service) -> Arc<[Version]> {
        let versions = self.0.get(service).into_iter().flatten();
        let open = versions.filter(|(_, phase)| **phase == Phase::Open);
        open.map(|(version, _)| version.clone()).collect()
    }

    /// Returns where a stream of one of `services` began if there is only one possibility.
    #[must_use]
    pub fn sole_origin(&self, services: &[id::Service]) -> Option<Origin> {
        let [service] = services else { return None };
        let mut versions = self.0.get(service)?.keys();
        let version = versions.next()?;
        let is_sole = versions.next().is_none();
        is_sole.then(|| Origin {
            service: service.clone(),
            version: version.clone(),
        })
    }

    /// Returns all versions in all phases.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Service, &Version, Phase)> {
        let services = self.0.iter();
        services.flat_map(|(service, versions)| {
            let versions = versions.iter();
            versions.map(move |(version, phase)| (service, version, *phase))
        })
    }

    /// Returns the content as the hub sends it to gateways.
    #[must_use]
    pub fn publish(&self) -> Published {
        Published {
            number: content_hash(self).max(1),
            versions: self.clone(),
        }
    }
}

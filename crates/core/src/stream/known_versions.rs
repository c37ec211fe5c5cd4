//! What a gateway knows of the versions at which streams may begin.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::rollout::Version;

use super::Origin;
use super::Published;
use super::SOLE_VERSION_LEASE;

/// How long a gateway without the hub lets streams begin at the versions that it knows. The hub keeps a version for longer
/// after its last server has gone.
const VERSIONS_LIFETIME: Duration = Duration::from_mins(5);

/// What a gateway knows of the versions at which streams may begin.
#[derive(Clone, Debug, Default)]
pub struct KnownVersions {
    published: Published,
    /// When the poll was sent whose reply confirmed them.
    polled_at: Instant,
}

impl KnownVersions {
    /// Returns the number by which the hub knows them.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.published.number
    }

    /// Applies the reply to a poll that was sent at `polled_at`.
    pub fn apply(&mut self, update: Option<Published>, polled_at: Instant) {
        if let Some(update) = update {
            self.published = update;
        }
        self.polled_at = polled_at;
    }

    /// Returns the versions at which streams of a service may begin.
    #[must_use]
    pub fn open(&self, service: &id::Service, now: Instant) -> Arc<[Version]> {
        if now.since(self.polled_at) > VERSIONS_LIFETIME {
            return Arc::default();
        }
        self.published.versions.open(service)
    }

    /// Returns where a stream of one of `services` must have begun, if the hub has confirmed lately that only one version
    /// serves.
    #[must_use]
    pub fn sole_origin(&self, services: &[id::Service], now: Instant) -> Option<Origin> {
        let is_recent = now.since(self.polled_at) < SOLE_VERSION_LEASE;
        is_recent.then(|| self.published.versions.sole_origin(services))?
    }
}

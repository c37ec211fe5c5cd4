//! The stream that a request begins or takes up, and the versions at which streams may begin.

use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock;
use curlewlift_core::gateway::Server;
use curlewlift_core::id;
use curlewlift_core::rollout::Version;
use curlewlift_core::stream;
use curlewlift_core::stream::Key;
use curlewlift_core::stream::Origin;

/// How long a gateway without the hub lets streams begin at the versions that it knows. The hub keeps a version for longer
/// after its last server has gone.
const VERSIONS_LIFETIME: Duration = Duration::from_mins(5);

/// The stream that a request begins or takes up.
#[derive(Clone, Debug, Default)]
pub(super) struct Stream {
    /// Identifies it; none if the response can't be resumed, or its caller doesn't name the stream.
    key: Option<Key>,
    /// Where it began; none before its first event.
    origin: Option<Origin>,
}

impl Stream {
    /// A stream that has not begun.
    pub(super) fn new(key: Option<Key>) -> Self {
        Self { key, origin: None }
    }

    /// A stream that began at `origin`.
    pub(super) fn begun(key: Option<Key>, origin: Origin) -> Self {
        let origin = Some(origin);
        Self { key, origin }
    }

    /// The service that must continue it; none before its first event.
    pub(super) fn service(&self) -> Option<&id::Service> {
        self.origin.as_ref().map(|origin| &origin.service)
    }

    /// The version that must continue it; none before its first event.
    pub(super) fn version(&self) -> Option<&Version> {
        self.origin.as_ref().map(|origin| &origin.version)
    }

    /// Sets where it began, unless that is known. Returns what other hosts are to know of it, the first time.
    pub(super) fn begin(&mut self, server: &Server) -> Option<(Key, Origin)> {
        let origin = self.origin.get_or_insert_with(|| Origin {
            service: server.service.clone(),
            version: server.version.clone(),
        });
        let key = self.key.take()?;
        Some((key, origin.clone()))
    }
}

/// What a gateway knows of the versions at which streams may begin.
#[derive(Debug, Default)]
pub(super) struct KnownVersions {
    published: stream::Published,
    /// When the poll was sent whose reply confirmed them.
    polled_at: clock::Instant,
}

impl KnownVersions {
    /// The number by which the hub knows them.
    pub(super) fn number(&self) -> u64 {
        self.published.number
    }

    /// Applies the reply to a poll that was sent at `polled_at`.
    pub(super) fn apply(&mut self, update: Option<stream::Published>, polled_at: clock::Instant) {
        if let Some(update) = update {
            self.published = update;
        }
        self.polled_at = polled_at;
    }

    /// The versions at which streams of a service may begin.
    pub(super) fn open(&self, service: &id::Service, now: clock::Instant) -> Arc<[Version]> {
        if now.since(self.polled_at) > VERSIONS_LIFETIME {
            return Arc::default();
        }
        self.published.versions.open(service)
    }

    /// Where a stream of one of `services` must have begun, if the hub has confirmed lately that only one version serves.
    pub(super) fn sole_origin(
        &self,
        services: &[id::Service],
        now: clock::Instant,
    ) -> Option<Origin> {
        let is_recent = now.since(self.polled_at) < stream::SOLE_VERSION_LEASE;
        is_recent.then(|| self.published.versions.sole_origin(services))?
    }
}

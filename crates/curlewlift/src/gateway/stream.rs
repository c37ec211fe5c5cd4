//! The stream that a request begins or takes up.

use curlewlift_core::gateway::Server;
use curlewlift_core::id;
use curlewlift_core::rollout::Version;
use curlewlift_core::stream::Key;
use curlewlift_core::stream::Origin;

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

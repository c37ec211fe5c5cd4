//! Which gateway fetches the platform's server list for all.
//!
//! Load pattern: the host beside the leader is cut off from the platform only. Without another one in its place, all hosts
//! would go on by an old list for as long as the hub is heard.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;

/// How long the platform may leave the fetching gateway without an answer: several intervals of fetches, and the time that
/// the fetch of a long list takes.
const MAX_SILENCE: Duration = Duration::from_secs(2);

/// For how long a failure counts when the next gateways are given longer.
const RECENT: Duration = Duration::from_secs(30);

/// How often [`MAX_SILENCE`] is doubled at most. A platform that answers nobody, or slowly, is not called by one gateway
/// after another in quick succession.
const MAX_DOUBLINGS: usize = 3;

/// The gateways that fetched the list and got no answer from the platform.
#[derive(Debug, Default)]
pub(super) struct ListFetchers {
    failed_at: BTreeMap<id::Host, Instant>,
    last_failed: Option<id::Host>,
    /// The gateway that fetches in place of the one beside the leader.
    current: Option<id::Host>,
}

impl ListFetchers {
    /// Records for how long the platform has not answered the fetching gateway on `host`.
    pub(super) fn record_silence(&mut self, host: &id::Host, silence: Duration, now: Instant) {
        if silence < self.max_silence(now) {
            return;
        }
        self.failed_at.insert(host.clone(), now);
        self.last_failed = Some(host.clone());
        if self.current.as_ref() == Some(host) {
            self.current = None;
        }
    }

    fn max_silence(&self, now: Instant) -> Duration {
        let is_recent = |failed_at: &&Instant| now.since(**failed_at) < RECENT;
        let recent = self.failed_at.values().filter(is_recent).count();
        MAX_SILENCE * (1 << recent.min(MAX_DOUBLINGS))
    }

    /// Returns when the platform last left a gateway without an answer, if it did.
    pub(super) fn failed_at(&self, host: &id::Host) -> Option<Instant> {
        self.failed_at.get(host).copied()
    }

    /// Returns the gateway that failed last.
    pub(super) fn last_failed(&self) -> Option<&id::Host> {
        self.last_failed.as_ref()
    }

    /// Returns the gateway that fetches in place of the one beside the leader.
    pub(super) fn current(&self) -> Option<&id::Host> {
        self.current.as_ref()
    }

    /// Sets the gateway that fetches in place of the one beside the leader.
    pub(super) fn set_current(&mut self, host: Option<id::Host>) {
        self.current = host;
    }

    /// Forgets the gateways for which `is_known` returns false.
    pub(super) fn retain(&mut self, is_known: impl Fn(&id::Host) -> bool) {
        self.failed_at.retain(|host, _| is_known(host));
    }
}

//! The versions that a request may be sent to, and the record of the one that begins its stream.

use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::gateway::Server;
use curlewlift_core::rollout::Version;
use curlewlift_core::stream::Record;
use tokio::time::Instant;

use super::forward::ForwardedRequest;

/// The longest time that a request waits until a gateway knows at which versions streams may begin.
const FIRST_VERSIONS_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which such a request checks whether the versions are known.
const FIRST_VERSIONS_INTERVAL: Duration = Duration::from_millis(15);

impl ForwardedRequest {
    /// The versions that it may be sent to; none if it may be sent to any.
    pub(super) async fn allowed_versions(&self) -> Option<Arc<[Version]>> {
        if let Some(version) = self.stream.version() {
            return Some(Arc::from([version.clone()]));
        }
        if !self.admitted.rule.kind.is_stream() {
            return None;
        }
        let until = Instant::now() + FIRST_VERSIONS_TIMEOUT.min(self.admitted.deadline.remaining());
        loop {
            let now = self.node.now();
            let open = self.node.stream_versions.borrow().open(&self.service, now);
            if !open.is_empty() || Instant::now() >= until {
                return Some(open);
            }
            tokio::time::sleep(FIRST_VERSIONS_INTERVAL).await;
        }
    }

    /// Records that the first event comes from `server`, before it is forwarded.
    pub(super) fn record_origin(&mut self, server: &Server) {
        let Some((key, origin)) = self.stream.begin(server) else {
            return;
        };
        let record = Record {
            key,
            origin,
            remaining: self.admitted.caller_waits_for(),
        };
        let now = self.node.now();
        self.node.streams.borrow_mut().record(&record, now);
        self.node.report_wakeup.notify_one();
    }
}

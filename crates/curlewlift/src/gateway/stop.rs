//! The planned stop: callers are sent to other gateways, and open requests are finished.

use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::event::Kind;

use super::log::Line;
use super::node::Node;

/// Interval at which the number of open requests is checked.
const OPEN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long before the platform kills the process the gateway ends by itself, cutting the requests that
/// are still open.
const CUT_MARGIN: Duration = Duration::from_millis(400);

/// Delay after which a late caller is to retry: almost at once, at another gateway.
const RETRY_ELSEWHERE_AFTER: Duration = Duration::from_millis(50);

/// Durations of a planned stop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopTiming {
    /// How long callers may still use this gateway's address from an earlier address response.
    pub(crate) address_lifetime: Duration,
    /// Time after which the platform kills the process.
    pub(crate) total: Duration,
}

/// After how long a request that is refused because of the stop may be retried; none if it is served.
pub(super) fn refusal_delay(node: &Node) -> Option<Duration> {
    node.rejects_callers.get().then_some(RETRY_ELSEWHERE_AFTER)
}

/// Stops being ready, waits until callers no longer use the address, then refuses new requests and
/// finishes the open ones.
pub(super) async fn run(node: &Rc<Node>, timing: StopTiming) {
    let started_at = node.now();
    node.stopping_since.set(Some(started_at));
    node.poll_wakeup.notify_one();
    Line::new(Kind::Stopping)
        .with("open", node.open_requests.get())
        .write();
    tokio::time::sleep(timing.address_lifetime).await;
    node.rejects_callers.set(true);
    let max_wait = timing.total.saturating_sub(CUT_MARGIN);
    while node.open_requests.get() > 0 && node.now().since(started_at) < max_wait {
        tokio::time::sleep(OPEN_CHECK_INTERVAL).await;
    }
    Line::new(Kind::Stopped)
        .with("open", node.open_requests.get())
        .with("finished", node.finished_requests.get())
        .write();
}

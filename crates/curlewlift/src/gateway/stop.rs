//! The planned stop: callers are sent elsewhere, what is open is finished.

use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::event::Kind;

use super::log::Line;
use super::node::Node;

/// Between two looks whether all is finished.
const OPEN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Before the end of the grace: what is still open then is cut by the process's own end, not by
/// the platform's.
const CUT_MARGIN: Duration = Duration::from_millis(400);

/// When a caller that comes late is to come back: at once, elsewhere.
const RETRY_ELSEWHERE_AFTER: Duration = Duration::from_millis(50);

/// How long a stop takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopTiming {
    /// How long callers may still hold this gateway's address.
    pub(crate) address_lifetime: Duration,
    /// After how long the platform ends the process.
    pub(crate) total: Duration,
}

/// Whether a request is turned away, and after how long it may come back.
pub(super) fn rejects_caller(node: &Node) -> Option<Duration> {
    node.rejects_callers.get().then_some(RETRY_ELSEWHERE_AFTER)
}

/// Sends callers elsewhere, waits until nobody holds the address any more, and finishes.
pub(super) async fn run(node: &Rc<Node>, timing: StopTiming) {
    let started_at = node.now();
    node.stopping.set(Some(started_at));
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

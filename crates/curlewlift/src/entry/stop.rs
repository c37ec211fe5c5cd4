//! The planned stop: leave the view, serve callers that still have the address, finish, end.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;

use super::addresses::RETENTION_MS;
use super::node::Node;
use super::node::lock;

/// Interval between two checks whether the entry has left, or all requests have ended.
const PROGRESS_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between two checks whether operators have ordered the stop of this entry.
const ORDER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// For how long callers may still read responses that are complete here.
const MAX_READ_TIME: Duration = Duration::from_mins(1);

/// Delay before the process ends, so that the last renewal reaches the leader.
const LAST_RENEWAL_WAIT: Duration = Duration::from_millis(500);

/// Waits until operators have ordered the stop of this entry.
pub(super) async fn wait_for_order(node: &Node) {
    loop {
        let snapshot = node.snapshot();
        let host = snapshot.hosts.get(&node.member.host);
        if host.is_some_and(|host| host.state == curlewlift_core::config::State::Stopping) {
            return;
        }
        tokio::time::sleep(ORDER_CHECK_INTERVAL).await;
    }
}

/// Leaves the view, serves until no caller may still use an address response that names this entry,
/// and waits for the open requests. `close_callers` accepts no more callers, and waits until all responses have been written.
pub(super) async fn run(
    node: &Arc<Node>,
    address_retention: Duration,
    close_callers: impl Future<Output = ()>,
) {
    node.timeline.note(Line::new(Kind::Stopping));
    lock(&node.view_holder).start_leaving();
    // Once the view has this entry as leaving, no address response names it any more. Responses
    // from before stay valid for the retention.
    while !has_left(node) {
        tokio::time::sleep(PROGRESS_CHECK_INTERVAL).await;
    }
    tokio::time::sleep(address_retention).await;
    node.closing.store(true, Ordering::Relaxed);
    while node.open_requests.load(Ordering::Relaxed) > 0 {
        tokio::time::sleep(PROGRESS_CHECK_INTERVAL).await;
    }
    let _ = tokio::time::timeout(MAX_READ_TIME, close_callers).await;
    lock(&node.view_holder).stop();
    tokio::time::sleep(LAST_RENEWAL_WAIT).await;
    let finished = node.finished_requests.load(Ordering::Relaxed);
    node.timeline
        .note(Line::new(Kind::Stopped).detail(format_args!("finished={finished}")));
}

/// Whether the active view has this entry as leaving, or there is no active view.
fn has_left(node: &Node) -> bool {
    let Ok(roster) = node.usable_roster() else {
        return true;
    };
    roster
        .get(&node.member.host)
        .is_none_or(|member| member.leaving)
}

/// How long callers may use an address response.
pub(super) const ADDRESS_RETENTION: Duration = Duration::from_millis(RETENTION_MS);

//! The planned stop: leave, serve on, finish, end.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;

use super::addresses::KEEP_MS;
use super::node::Node;
use super::node::lock;

/// Between two looks whether all is finished.
const LOOK: Duration = Duration::from_millis(20);

/// Between two looks whether the operators have told this entry to stop.
const TOLD: Duration = Duration::from_millis(250);

/// Before the process ends, for the last word to reach the leader.
const LAST: Duration = Duration::from_millis(500);

/// Waits until the operators have told this entry to stop.
pub(super) async fn told(node: &Node) {
    loop {
        let snapshot = node.snapshot();
        let host = snapshot.hosts.get(&node.member.host);
        if host.is_some_and(|host| host.state == curlewlift_core::config::State::Stopping) {
            return;
        }
        tokio::time::sleep(TOLD).await;
    }
}

/// Leaves, serves until the last kept address answer has run out, and finishes what is open.
pub(super) async fn run(node: &Arc<Node>, keep: Duration) {
    node.timeline.note(Line::new(Kind::Stopping));
    lock(&node.view_holder).start_leaving();
    // First the view without this entry, so that no later answer names it; then as long as an
    // answer of before may be kept.
    while !has_left(node) {
        tokio::time::sleep(LOOK).await;
    }
    tokio::time::sleep(keep).await;
    node.closing.store(true, Ordering::Relaxed);
    while node.open_requests.load(Ordering::Relaxed) > 0 {
        tokio::time::sleep(LOOK).await;
    }
    lock(&node.view_holder).stop();
    tokio::time::sleep(LAST).await;
    let finished = node.finished_requests.load(Ordering::Relaxed);
    node.timeline
        .note(Line::new(Kind::Stopped).detail(format_args!("finished={finished}")));
}

/// Whether the active view has this entry as leaving, or there is none to act under.
fn has_left(node: &Node) -> bool {
    let Ok(roster) = node.usable_roster() else {
        return true;
    };
    roster
        .get(&node.member.host)
        .is_none_or(|member| member.leaving)
}

/// How long callers keep an address answer.
pub(super) const KEEP: Duration = Duration::from_millis(KEEP_MS);

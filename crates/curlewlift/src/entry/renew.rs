//! Renews the lease of the entry, and applies new views and configuration revisions.

use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::claim::CopyResponse;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::id;
use curlewlift_core::view::Grant;
use curlewlift_core::view::LeaseTiming;
use curlewlift_core::view::Member;

use crate::rpc::ClaimCall;
use crate::rpc::ClaimReply;
use crate::rpc::Method;
use crate::rpc::RenewCall;

use super::node::Node;
use super::node::lock;
use super::owner;
use super::schedule;

/// Time limit for a renewal call to a control replica.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between two renewals while a view is changing or after a failed renewal.
const FAST_RENEW_INTERVAL: Duration = Duration::from_millis(40);

/// Interval between two scans for incomplete shards.
const FILL_SCAN_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit for fetching the copy of a shard from another entry.
const COPY_TIMEOUT: Duration = Duration::from_secs(2);

/// Renews the lease for as long as the process runs.
pub(super) async fn run(node: Arc<Node>, lease: LeaseTiming) {
    let mut replica_index = 0;
    let mut active_view = id::View(0);
    loop {
        let renewed = renew_once(&node, &mut replica_index).await;
        let current_view = node
            .usable_roster()
            .map_or(id::View(0), |roster| roster.number);
        if current_view != active_view {
            active_view = current_view;
            apply_view(&node, active_view);
        }
        let is_urgent = !renewed || lock(&node.view_holder).is_changing();
        tokio::time::sleep(if is_urgent {
            FAST_RENEW_INTERVAL
        } else {
            lease.renew_interval
        })
        .await;
    }
}

/// Sends one renewal to the control replica that replied last, or to the next one after a failure.
/// Returns whether the lease was granted.
async fn renew_once(node: &Arc<Node>, replica_index: &mut usize) -> bool {
    let Some(address) = node
        .control_addresses
        .get(*replica_index % node.control_addresses.len().max(1))
    else {
        return false;
    };
    let sent_at = node.now();
    let shards_complete = lock(&node.claim_table).pending_copies().is_empty();
    lock(&node.view_holder).set_shards_complete(shards_complete);
    let call = RenewCall::Entry(lock(&node.view_holder).renewal());
    let grant: Result<Grant, Refusal> = node
        .rpc
        .call(*address, Method::Renew, &call, CALL_TIMEOUT)
        .await;
    match grant {
        Ok(grant) => {
            apply_grant(node, grant, sent_at);
            true
        }
        Err(refusal) => {
            log::debug!("renewing the lease at {address} failed: {refusal}");
            *replica_index += 1;
            false
        }
    }
}

/// Applies a lease grant, and notes a new revision or view in the timeline.
fn apply_grant(node: &Node, grant: Grant, sent_at: curlewlift_core::clock::Instant) {
    let mut holder = lock(&node.view_holder);
    let revision = holder.get_snapshot().revision;
    let view = holder.get_roster().number;
    holder.on_grant(grant, sent_at);
    let new_revision = holder.get_snapshot().revision;
    let new_view = holder.get_roster().number;
    drop(holder);
    if new_revision != revision {
        node.timeline
            .note(Line::new(Kind::Revision).detail(new_revision));
    }
    if new_view != view {
        node.timeline
            .note(Line::new(Kind::ViewHeld).detail(new_view));
    }
}

/// Applies the view that has become active, or notes the loss of the lease (view 0).
fn apply_view(node: &Arc<Node>, view: id::View) {
    if view == id::View(0) {
        node.timeline.note(Line::new(Kind::LeaseLost));
        return;
    }
    let holder = lock(&node.view_holder);
    let roster = Arc::clone(holder.get_roster());
    let previous = Arc::clone(holder.get_previous_roster());
    drop(holder);
    lock(&node.claim_table).apply_view(&roster, &previous, node.now());
    owner::apply_view(node, &roster, &previous);
    schedule::report_running(node, &roster);
    node.timeline.note(Line::new(Kind::ViewActive).detail(view));
    node.view_changed.notify_waiters();
}

/// Fills incomplete shards for as long as the process runs. This is a task of its own, so that an
/// unresponsive source does not delay the renewals.
pub(super) async fn fill_shards(node: Arc<Node>) {
    loop {
        let changed = node.view_changed.notified();
        fill_pending(&node).await;
        let _ = tokio::time::timeout(FILL_SCAN_INTERVAL, changed).await;
    }
}

/// Fetches the copies of the shards that this entry stores since the active view.
async fn fill_pending(node: &Arc<Node>) {
    let pending = lock(&node.claim_table).pending_copies();
    let copies = pending
        .into_iter()
        .map(|(shard, source)| copy_shard(node, shard, source));
    futures::future::join_all(copies).await;
}

async fn copy_shard(node: &Arc<Node>, shard: id::Shard, source: Member) {
    let view = lock(&node.view_holder).get_roster().number;
    let call = ClaimCall::CopyShard { shard, view };
    let reply = node
        .rpc
        .call(source.rpc, Method::Claim, &call, COPY_TIMEOUT)
        .await;
    let now = node.now();
    match reply {
        Ok(ClaimReply::ShardCopy(CopyResponse::Complete(slot))) => {
            lock(&node.claim_table).install_copy(shard, view, slot, now);
            node.timeline
                .note(Line::new(Kind::ShardFilled).detail(shard));
        }
        Ok(ClaimReply::ShardCopy(CopyResponse::Incomplete)) => {
            lock(&node.claim_table).skip_source(shard, &source.host, now);
            let detail = format!("shard={shard} source={}", source.host);
            node.timeline
                .note(Line::new(Kind::ShardLost).detail(detail));
        }
        Ok(_) | Err(_) => {}
    }
}

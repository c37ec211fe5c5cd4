//! Renews the entry's lease, and takes up new views and revisions.

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

/// How long a control replica may take.
const CALL: Duration = Duration::from_millis(500);

/// Between two renewals while a view is changing.
const HURRY: Duration = Duration::from_millis(40);

/// Between two looks for shards that are not whole.
const FILL: Duration = Duration::from_millis(100);

/// How long another entry may take to give a copy.
const COPY: Duration = Duration::from_secs(2);

/// Renews for as long as the process lives.
pub(super) async fn run(node: Arc<Node>, lease: LeaseTiming) {
    let mut control = 0;
    let mut acting = id::View(0);
    loop {
        let renewed = once(&node, &mut control).await;
        let now_acting = node
            .usable_roster()
            .map_or(id::View(0), |roster| roster.number);
        if now_acting != acting {
            acting = now_acting;
            take_up(&node, acting);
        }
        let hurry = !renewed || lock(&node.view_holder).is_changing();
        tokio::time::sleep(if hurry { HURRY } else { lease.renew_interval }).await;
    }
}

/// One renewal at the control replica that answered last, or at the next one.
async fn once(node: &Arc<Node>, control: &mut usize) -> bool {
    let Some(address) = node
        .control_addresses
        .get(*control % node.control_addresses.len().max(1))
    else {
        return false;
    };
    let asked = node.now();
    let whole = lock(&node.claim_table).pending_copies().is_empty();
    lock(&node.view_holder).set_shards_complete(whole);
    let call = RenewCall::Entry(lock(&node.view_holder).renewal());
    let grant: Result<Grant, Refusal> = node.rpc.call(*address, Method::Renew, &call, CALL).await;
    match grant {
        Ok(grant) => {
            take(node, grant, asked);
            true
        }
        Err(why) => {
            log::debug!("no lease from {address}: {why}");
            *control += 1;
            false
        }
    }
}

fn take(node: &Node, grant: Grant, asked: curlewlift_core::clock::Instant) {
    let mut holder = lock(&node.view_holder);
    let revision = holder.get_snapshot().revision;
    let view = holder.get_roster().number;
    holder.on_grant(grant, asked);
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

/// The entry acts under another view than before, or under none.
fn take_up(node: &Arc<Node>, view: id::View) {
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

/// Fills shards for as long as the process lives; beside the renewals, which a source that does not
/// answer must not hold up.
pub(super) async fn keep_filled(node: Arc<Node>) {
    loop {
        let changed = node.view_changed.notified();
        fill(&node).await;
        let _ = tokio::time::timeout(FILL, changed).await;
    }
}

/// Asks for the copies of shards that are kept here since this view.
async fn fill(node: &Arc<Node>) {
    let wanted = lock(&node.claim_table).pending_copies();
    let copies = wanted
        .into_iter()
        .map(|(shard, source)| copy(node, shard, source));
    futures::future::join_all(copies).await;
}

async fn copy(node: &Arc<Node>, shard: id::Shard, source: Member) {
    let view = lock(&node.view_holder).get_roster().number;
    let call = ClaimCall::CopyShard { shard, view };
    let reply = node.rpc.call(source.rpc, Method::Claim, &call, COPY).await;
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

//! Waits for a slot at a backend server.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::pool::Request;
use curlewlift_core::quarantine::Rejection;
use curlewlift_core::quota::Charge;
use tokio::time::Instant;

use super::hub_slots;
use super::hub_slots::AttemptContext;
use super::hub_slots::HubDecision;
use super::local_quota;
use super::local_slots;
use super::local_slots::LocalShare;
use super::node::Node;
use super::slot::Slot;
use super::slot_queue::NoSlot;
use super::slot_queue::wait_in_queue;

/// Interval at which a request that only the hub can admit checks whether the hub is reachable again.
const HUB_CHECK_INTERVAL: Duration = Duration::from_millis(30);

/// Interval at which a request asks again whose prompt has a part that another request is about to show to be sound.
const TRIAL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// For how long such a request asks: a trial shows after a second that a part is sound.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(2);

/// A request that only the hub can admit waits for the time in which it can still be sent, divided by this: when it is rejected
/// then, its caller may still get a response in time elsewhere. With a wait of 1 s, one request in thirty
/// at hosts that were cut off was late.
const HUB_WAIT_DIVISOR: u32 = 4;

/// Waits for a slot for at most `wait_limit`: at the hub, or in the local queue while the hub gives no
/// decision. The request's cost is charged where the slot comes from.
pub(super) async fn wait(
    node: &Rc<Node>,
    context: AttemptContext<'_>,
    mut request: Request,
    mut charge: Option<&Charge>,
    wait_limit: Duration,
) -> Result<Slot, NoSlot> {
    let started = Instant::now();
    let until = started + wait_limit;
    let hub_wait = request.send_by.since(node.now()) / HUB_WAIT_DIVISOR;
    loop {
        let remaining = until.saturating_duration_since(Instant::now());
        match hub_slots::request_slot(node, context, &request, charge, remaining).await {
            HubDecision::Granted(grant, asked_at) => {
                let server = Arc::new(grant.server.clone());
                let slot = Slot::new(node, context, server, request.prompt);
                return Ok(slot.granted_by(grant, asked_at));
            }
            HubDecision::NoRoom(retry_after) => return Err(NoSlot::TimeUp(retry_after)),
            HubDecision::QuotaExceeded(wait) => return Err(NoSlot::QuotaExceeded(wait)),
            HubDecision::Rejected(Rejection::PartInTrial)
                if remaining > TRIAL_CHECK_INTERVAL && started.elapsed() < MAX_TRIAL_WAIT =>
            {
                tokio::time::sleep(TRIAL_CHECK_INTERVAL).await;
                continue;
            }
            HubDecision::Rejected(why) => return Err(NoSlot::Rejected(why)),
            HubDecision::NoRetry => return Err(NoSlot::NoRetry),
            HubDecision::NoVersion => return Err(NoSlot::NoVersion),
            HubDecision::Unavailable(server) => {
                charge = None;
                request.tried.push(Arc::clone(&server.incarnation));
                continue;
            }
            HubDecision::Undecided => {}
        }
        if node.lacks_versions(context) {
            return Err(NoSlot::NoVersion);
        }
        // Other gateways may be sending the same request, and only the hub sees all of them.
        let may_send = node.quarantine.borrow().may_send(context.features);
        may_send.map_err(NoSlot::Undecided)?;
        let is_limited = node.is_limited(context.service);
        let share = node.local_share(context.service);
        if let LocalShare::Usable(slots) = share
            && !is_limited
        {
            let remaining = until.saturating_duration_since(Instant::now());
            match local_slots::wait(node, context, &request, charge, slots, remaining).await {
                Err(NoSlot::HubBack) => continue,
                decided => return decided,
            }
        }
        let is_admitted = match charge {
            _ if is_limited || share != LocalShare::Unlimited => false,
            Some(charge) => local_quota::acquire(node, charge).await,
            None => true,
        };
        let remaining = until.saturating_duration_since(Instant::now());
        if is_admitted {
            return wait_in_queue(node, context, request, remaining).await;
        }
        if remaining < HUB_CHECK_INTERVAL || started.elapsed() + HUB_CHECK_INTERVAL > hub_wait {
            return Err(match share {
                _ if is_limited => NoSlot::Limited,
                LocalShare::Unlimited => NoSlot::HubUnreachable,
                _ => NoSlot::NoShare,
            });
        }
        tokio::time::sleep(HUB_CHECK_INTERVAL).await;
    }
}

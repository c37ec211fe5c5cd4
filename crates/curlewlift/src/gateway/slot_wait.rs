//! Waits for a request's turn at a backend server.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::id;
use curlewlift_core::pool::Assignment;
use curlewlift_core::pool::Request;
use curlewlift_core::pool::Ticket;
use curlewlift_core::quarantine::Identity;
use curlewlift_core::quarantine::Rejection;
use curlewlift_core::quota::Charge;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::hub_slots;
use super::hub_slots::AttemptContext;
use super::hub_slots::HubDecision;
use super::local_quota;
use super::node::Node;
use super::slot::Slot;

/// Between two looks whether the hub is heard again, of a request that only it can let in.
const HUB_CHECK_INTERVAL: Duration = Duration::from_millis(30);

/// The part of the time in which an answer can be in time that such a request waits: sent away then, its
/// caller may still be answered in time elsewhere. At hosts that are cut off 1 s of waiting made one request
/// in thirty late (three days of 12 hosts, four in ten cut off).
const HUB_WAIT_DIVISOR: u32 = 4;

/// A place in line; left when it is dropped.
struct QueueEntry {
    node: Rc<Node>,
    service: id::Service,
    rule: Arc<str>,
    identity: Identity,
    time_left: Duration,
    ticket: Ticket,
    assignment: oneshot::Receiver<Assignment>,
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.node.dequeue(&self.service, self.ticket);
        // A turn that came in the moment in which its request went away is given back.
        self.assignment.close();
        if let Ok(assignment) = self.assignment.try_recv() {
            let context = AttemptContext {
                service: &self.service,
                rule: &self.rule,
                identity: &self.identity,
                time_left: self.time_left,
                needs_retry: false,
            };
            drop(Slot::new(
                &self.node,
                context,
                assignment.server,
                assignment.prompt,
            ));
        }
    }
}

/// Why no turn came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoSlot {
    /// There is no such service here, or no server of it.
    NoServer,
    /// Others go before it, and its turn would not come in time.
    Displaced,
    /// Its time was up.
    TimeUp,
    /// Its customer has used up its allowance, by the hub's word; there is enough after this time.
    QuotaExceeded(Duration),
    /// Its customer has used up what this gateway may let in without the hub's word.
    HubUnreachable,
    /// All servers have named limits, from which only the hub draws, and it is not heard.
    Limited,
    /// Servers ended under such a request.
    Rejected(Rejection),
    /// It was sent before, and no further sending is left.
    NoRetry,
}

/// Waits for a turn for at most `wait_limit`: at the hub, or here while it is not to be had; what the
/// request counts is drawn there or here.
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
            HubDecision::Granted(grant) => {
                let server = Arc::new(grant.server.clone());
                return Ok(Slot::new(node, context, server, request.prompt).granted_by(grant));
            }
            HubDecision::NoSlot => return Err(NoSlot::TimeUp),
            HubDecision::QuotaExceeded(wait) => return Err(NoSlot::QuotaExceeded(wait)),
            HubDecision::Rejected(why) => return Err(NoSlot::Rejected(why)),
            HubDecision::NoRetry => return Err(NoSlot::NoRetry),
            HubDecision::Unavailable(server) => {
                charge = None;
                request.tried.push(Arc::clone(&server.incarnation));
                continue;
            }
            HubDecision::Undecided => {}
        }
        // Others may be sending it as well, and only the hub adds that up.
        if !node.quarantine.borrow().may_send(context.identity) {
            return Err(NoSlot::Rejected(Rejection::Quarantined));
        }
        let is_limited = node.is_limited(context.service);
        let is_admitted = match charge {
            _ if is_limited => false,
            Some(charge) => local_quota::acquire(node, charge).await,
            None => true,
        };
        let remaining = until.saturating_duration_since(Instant::now());
        if is_admitted {
            return wait_in_queue(node, context, request, remaining).await;
        }
        if remaining < HUB_CHECK_INTERVAL || started.elapsed() + HUB_CHECK_INTERVAL > hub_wait {
            let why = if is_limited {
                NoSlot::Limited
            } else {
                NoSlot::HubUnreachable
            };
            return Err(why);
        }
        tokio::time::sleep(HUB_CHECK_INTERVAL).await;
    }
}

/// Waits for a turn by what this gateway knows itself.
async fn wait_in_queue(
    node: &Rc<Node>,
    context: AttemptContext<'_>,
    request: Request,
    wait_limit: Duration,
) -> Result<Slot, NoSlot> {
    let (ticket, assignment) = node
        .enqueue(context.service, request)
        .ok_or(NoSlot::NoServer)?;
    let mut entry = QueueEntry {
        node: Rc::clone(node),
        service: context.service.clone(),
        rule: Arc::clone(context.rule),
        identity: context.identity.clone(),
        time_left: context.time_left,
        ticket,
        assignment,
    };
    let assignment = tokio::time::timeout(wait_limit, &mut entry.assignment).await;
    let assignment = match assignment {
        Ok(Ok(assignment)) => assignment,
        Ok(Err(_)) => return Err(NoSlot::Displaced),
        Err(_) => return Err(NoSlot::TimeUp),
    };
    Ok(Slot::new(
        node,
        context,
        assignment.server,
        assignment.prompt,
    ))
}

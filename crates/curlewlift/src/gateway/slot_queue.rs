//! The queue of requests that wait for a slot that this gateway assigns.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::id;
use curlewlift_core::pool::Assignment;
use curlewlift_core::pool::Request;
use curlewlift_core::pool::Ticket;
use curlewlift_core::quarantine::Features;
use curlewlift_core::quarantine::Rejection;
use tokio::sync::oneshot;

use super::hub_slots::AttemptContext;
use super::node::Node;
use super::slot::Slot;

/// A request's entry in the local queue; removed when dropped.
struct QueueEntry {
    node: Rc<Node>,
    service: id::Service,
    rule: Arc<str>,
    features: Features,
    time_left: Duration,
    ticket: Ticket,
    assignment: oneshot::Receiver<Assignment>,
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.node.dequeue(&self.service, self.ticket);
        // Releases a slot that was assigned at the moment the request went away.
        self.assignment.close();
        if let Ok(assignment) = self.assignment.try_recv() {
            let context = AttemptContext {
                service: &self.service,
                rule: &self.rule,
                features: &self.features,
                time_left: self.time_left,
                allowed_halls: None,
                allowed_versions: None,
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

/// Why a request got no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoSlot {
    /// The service is unknown here or has no server.
    NoServer,
    /// Other requests go first, and no slot would come free in time.
    Displaced,
    /// No slot becomes free within the wait limit. The caller should retry after this time, if the hub knows one.
    TimeUp(Option<Duration>),
    /// The hub says that the customer's quota is used up; it suffices again after this time.
    QuotaExceeded(Duration),
    /// The hub is not reachable, and the customer has used up what may be admitted without it.
    HubUnreachable,
    /// The hub is not reachable, and no slot of the shares of this gateway, or of those that lend slots, is free in time.
    NoShare,
    /// The hub has replied again while the request waited without it.
    HubBack,
    /// All servers have announced limits, which only the hub charges, and the hub is not reachable.
    Limited,
    /// Servers crashed under this request, and quarantine rejects it.
    Rejected(Rejection),
    /// The same, by what this gateway knows: the hub, which may know better, is not reachable.
    Undecided(Rejection),
    /// The request is a retry, and the retry budget is used up.
    NoRetry,
    /// No server that accepts work runs a version that the request may be sent to.
    NoVersion,
    /// This host has lost its paths to all servers of the service, and no other gateway tunnels connections there.
    NoPath,
    /// This gateway stops, and might end before the request does.
    Stopping,
}

/// Waits in the local queue for a slot that this gateway assigns.
pub(super) async fn wait_in_queue(
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
        features: context.features.clone(),
        time_left: context.time_left,
        ticket,
        assignment,
    };
    let assignment = tokio::time::timeout(wait_limit, &mut entry.assignment).await;
    let assignment = match assignment {
        Ok(Ok(assignment)) => assignment,
        Ok(Err(_)) => return Err(NoSlot::Displaced),
        Err(_) => return Err(NoSlot::TimeUp(None)),
    };
    Ok(Slot::new(
        node,
        context,
        assignment.server,
        assignment.prompt,
    ))
}

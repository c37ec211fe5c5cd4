//! Waits for a slot that the owner of the request's service grants, and reports to the owner.

use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::id;
use curlewlift_core::queue;
use curlewlift_core::queue::Report;
use curlewlift_core::unit::Tokens;
use curlewlift_core::view::Roster;

use crate::rpc::Method;
use crate::rpc::QueueCall;
use crate::rpc::ServerGrant;

use super::node::Node;
use super::node::SlotResult;
use super::node::lock;
use super::owner;
use super::request::Request;

/// Pause before the owner is asked again while the owner or the view changes.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Added to the time left of a request, so that the owner's refusal at the deadline still arrives.
const REFUSAL_MARGIN: Duration = Duration::from_millis(200);

/// Time limit for a report to an owner.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// A granted slot at `server`. The owner counts the slot as used until the grant is ended or
/// dropped.
pub(super) struct SlotGrant {
    node: Arc<Node>,
    request: Arc<Request>,
    pub(super) server: id::Server,
    ended: bool,
}

impl SlotGrant {
    /// Reports progress to the owner.
    pub(super) fn report(&self, report: Report) {
        send_report(&self.node, &self.request, report);
    }

    /// Reports the end of the request to the owner.
    pub(super) fn end(mut self, output: Tokens, cached: Option<Tokens>) {
        self.ended = true;
        self.release(Report::Ended { output, cached });
    }

    fn release(&self, report: Report) {
        lock(&self.node.running).remove(&self.request.ticket);
        send_report(&self.node, &self.request, report);
    }
}

impl Drop for SlotGrant {
    fn drop(&mut self) {
        if !self.ended {
            let output = Tokens(0);
            self.release(Report::Ended {
                output,
                cached: None,
            });
        }
    }
}

/// A queued request. It is cancelled at the owner if this is dropped before the owner has decided.
struct QueuedRequest<'a> {
    node: &'a Arc<Node>,
    request: &'a Arc<Request>,
    decided: bool,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        let service = self.request.service.clone();
        let host = self.node.member.host.clone();
        let ticket = self.request.ticket;
        send_to_owner(
            self.node,
            &self.request.service,
            QueueCall::Cancel {
                service,
                ticket,
                host,
            },
        );
    }
}

/// Waits until the owner grants a slot. `attempt` is 0 for the first attempt and counts the
/// retries.
pub(super) async fn wait_for_slot(
    node: &Arc<Node>,
    request: &Arc<Request>,
    attempt: u8,
) -> Result<SlotGrant, Refusal> {
    let mut queued = QueuedRequest {
        node,
        request,
        decided: false,
    };
    loop {
        if node.now() >= request.deadline {
            return Err(Refusal::new(
                Code::Expired,
                "the deadline passed while the request waited in the queue",
            ));
        }
        let result = match node.wait_for_roster().await {
            Ok(roster) => request_slot(node, request, attempt, &roster).await,
            Err(refusal) => Err(refusal),
        };
        match result {
            Ok(server) => {
                queued.decided = true;
                let line = Line::new(Kind::Granted).key(request.key).server(&server);
                node.timeline.note(line.customer(&request.customer));
                let running = (Arc::clone(request), server.clone());
                lock(&node.running).insert(request.ticket, running);
                return Ok(SlotGrant {
                    node: Arc::clone(node),
                    request: Arc::clone(request),
                    server,
                    ended: false,
                });
            }
            Err(refusal) if is_temporary(refusal.get_code()) => {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            Err(refusal) => {
                queued.decided = true;
                return Err(refusal);
            }
        }
    }
}

/// Whether the owner has to be asked again: it, or the view, is changing.
fn is_temporary(code: Code) -> bool {
    matches!(code, Code::WrongView | Code::Unreachable)
}

async fn request_slot(
    node: &Arc<Node>,
    request: &Arc<Request>,
    attempt: u8,
    roster: &Roster,
) -> SlotResult {
    let no_owner = || Refusal::new(Code::WrongView, "no entry owns the service");
    let owner = roster.owner(&request.service).ok_or_else(no_owner)?;
    let call = enqueue_call(node, request, attempt, roster, None);
    if owner.host == node.member.host {
        let receiver = owner::enqueue(node, call)?;
        let queue_dropped = || Refusal::new(Code::WrongView, "the owner dropped the queue");
        return receiver.await.map_err(|_| queue_dropped())?;
    }
    let timeout = request.deadline.since(node.now()) + REFUSAL_MARGIN;
    let granted: ServerGrant = node
        .rpc
        .call(owner.rpc, Method::Ask, &call, timeout)
        .await?;
    Ok(granted.server)
}

fn enqueue_call(
    node: &Node,
    request: &Request,
    attempt: u8,
    roster: &Roster,
    running: Option<id::Server>,
) -> QueueCall {
    QueueCall::Enqueue {
        view: roster.number,
        service: request.service.clone(),
        key: request.key,
        ticket: request.ticket,
        host: node.member.host.clone(),
        customer: request.customer.clone(),
        prompt: request.prompt,
        output: request.output,
        prefixes: request.prefixes.clone(),
        attempt,
        time_left: request.deadline.since(node.now()),
        running,
    }
}

fn send_report(node: &Arc<Node>, request: &Request, report: Report) {
    let service = request.service.clone();
    let host = node.member.host.clone();
    let ticket = request.ticket;
    let call = QueueCall::Report {
        service,
        ticket,
        host,
        report,
    };
    send_to_owner(node, &request.service, call);
}

/// Sends a report or cancellation to the owner of `service`, without waiting for the reply.
fn send_to_owner(node: &Arc<Node>, service: &id::Service, call: QueueCall) {
    let Ok(roster) = node.usable_roster() else {
        return;
    };
    let Some(owner) = roster.owner(service) else {
        return;
    };
    if owner.host == node.member.host {
        handle_report(node, call);
        return;
    }
    let node = Arc::clone(node);
    let address = owner.rpc;
    tokio::spawn(async move {
        let _: Result<(), Refusal> = node
            .rpc
            .call(address, Method::Ask, &call, REPORT_TIMEOUT)
            .await;
    });
}

/// Handles a report or cancellation, as the owner.
pub(super) fn handle_report(node: &Node, call: QueueCall) {
    match call {
        QueueCall::Report {
            service,
            ticket,
            host,
            report,
        } => {
            let ticket = queue::Ticket {
                host,
                number: ticket,
            };
            owner::report(node, &service, &ticket, report);
        }
        QueueCall::Cancel {
            service,
            ticket,
            host,
        } => {
            let ticket = queue::Ticket {
                host,
                number: ticket,
            };
            owner::cancel(node, &service, &ticket);
        }
        QueueCall::Enqueue { .. } => {
            debug_assert!(false, "`owner::enqueue` handles requests for a slot");
        }
    }
}

/// Reports the running requests of this entry to the owners in a new view.
pub(super) fn report_running(node: &Arc<Node>, roster: &Roster) {
    let running: Vec<_> = lock(&node.running).values().cloned().collect();
    for (request, server) in running {
        let Some(owner) = roster.owner(&request.service) else {
            continue;
        };
        let call = enqueue_call(node, &request, 0, roster, Some(server));
        if owner.host == node.member.host {
            let _ = owner::enqueue(node, call);
            continue;
        }
        let node = Arc::clone(node);
        let address = owner.rpc;
        tokio::spawn(async move {
            let _: Result<ServerGrant, Refusal> = node
                .rpc
                .call(address, Method::Ask, &call, REPORT_TIMEOUT)
                .await;
        });
    }
}

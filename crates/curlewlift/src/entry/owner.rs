//! The queues of the services that this entry owns.

use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::config::Snapshot;
use curlewlift_core::config::State;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::fleet::Fleet;
use curlewlift_core::fleet::Spec;
use curlewlift_core::id;
use curlewlift_core::queue;
use curlewlift_core::queue::Action;
use curlewlift_core::queue::Queue;
use curlewlift_core::queue::Report;
use curlewlift_core::queue::Request;
use curlewlift_core::unit::Tokens;
use curlewlift_core::view::Roster;
use tokio::sync::oneshot;

use crate::rpc::QueueCall;

use super::node::Node;
use super::node::SlotResult;
use super::node::lock;

/// How long a new owner grants nothing, so that entries can report the requests that already run.
const RUNNING_REPORT_WAIT: Duration = Duration::from_millis(300);

/// The queue of a service that this entry owns.
pub(super) struct OwnedQueue {
    queue: Queue,
    owned_since: Instant,
    revision: id::Revision,
}

/// Runs `step` on the queue of `service` and delivers the resulting decisions to the waiting
/// requests.
///
/// # Errors
///
/// [`Code::WrongView`] if this entry does not own the service.
pub(super) fn with_queue(
    node: &Node,
    service: &id::Service,
    step: impl FnOnce(&mut Queue, Instant),
) -> Result<(), Refusal> {
    let roster = node.usable_roster()?;
    let is_owner = roster
        .owner(service)
        .is_some_and(|owner| owner.host == node.member.host);
    if !is_owner {
        return Err(Refusal::new(
            Code::WrongView,
            "another entry owns the service",
        ));
    }
    let now = node.now();
    let snapshot = node.snapshot();
    let mut queues = lock(&node.queues);
    let entry = queues.entry(service.clone());
    let owned = entry.or_insert_with(|| create_queue(node, service, &roster, now));
    refresh(owned, service, &snapshot, now);
    step(&mut owned.queue, now);
    deliver_decisions(node, &mut owned.queue, now);
    Ok(())
}

/// Creates the queue of a service that this entry has just become the owner of. Grants are held at
/// first.
fn create_queue(node: &Node, service: &id::Service, roster: &Roster, now: Instant) -> OwnedQueue {
    let detail = format!("service={service} view={}", roster.number);
    node.timeline.note(Line::new(Kind::Owns).detail(detail));
    let mut queue = Queue::new(Fleet::default(), Tokens(u64::MAX));
    queue.set_grants_held(true, now);
    OwnedQueue {
        queue,
        owned_since: now,
        revision: id::Revision::default(),
    }
}

/// Applies a newer configuration, and stops holding grants once [`RUNNING_REPORT_WAIT`] has passed.
fn refresh(owned: &mut OwnedQueue, service: &id::Service, snapshot: &Snapshot, now: Instant) {
    if owned.revision != snapshot.revision {
        owned.revision = snapshot.revision;
        let specs = live_servers(service, snapshot);
        owned
            .queue
            .update_fleet(|fleet| fleet.set_servers(specs, now), now);
        if let Some(service) = snapshot.services.get(service) {
            owned.queue.set_work_limit(service.work);
        }
    }
    if now.since(owned.owned_since) >= RUNNING_REPORT_WAIT {
        owned.queue.set_grants_held(false, now);
    }
}

/// The servers of `service` that take requests.
fn live_servers(service: &id::Service, snapshot: &Snapshot) -> Vec<Spec> {
    let servers = snapshot
        .servers
        .iter()
        .filter(|pair| &pair.1.service == service);
    let live = servers.filter(|pair| pair.1.state == State::Live);
    let specs = live.map(|(name, server)| Spec {
        name: name.clone(),
        hall: server.hall.clone(),
        slots: server.slots,
        prefill: server.prefill,
        decode: server.decode,
    });
    specs.collect()
}

/// Sends the decisions of the queue to the requests that wait for them.
fn deliver_decisions(node: &Node, queue: &mut Queue, now: Instant) {
    loop {
        let actions = queue.take_actions();
        if actions.is_empty() {
            return;
        }
        for action in actions {
            let (ticket, result) = match action {
                Action::Grant { ticket, pick } => (ticket, Ok(pick.name)),
                Action::Refuse { ticket, refusal } => {
                    note_shed(node, &ticket, &refusal);
                    (ticket, Err(refusal))
                }
            };
            let sender = lock(&node.waiting).remove(&ticket);
            let delivered = sender.is_some_and(|sender| sender.send(result).is_ok());
            if !delivered {
                queue.cancel(&ticket, now);
            }
        }
    }
}

fn note_shed(node: &Node, ticket: &queue::Ticket, refusal: &Refusal) {
    if refusal.get_code() == Code::Shed {
        node.timeline
            .note(Line::new(Kind::Shed).detail(format_args!("ticket={ticket}")));
    }
}

/// Enqueues a request. The receiver gets the granted server or the refusal.
pub(super) fn enqueue(
    node: &Node,
    call: QueueCall,
) -> Result<oneshot::Receiver<SlotResult>, Refusal> {
    let QueueCall::Enqueue {
        service,
        key,
        ticket,
        host,
        customer,
        prompt,
        output,
        prefixes,
        attempt,
        time_left,
        running,
        ..
    } = call
    else {
        return Err(Refusal::new(
            Code::Internal,
            "the call does not enqueue a request",
        ));
    };
    let snapshot = node.snapshot();
    let rights = snapshot.customers.get(&customer);
    let first_token_limit = rights.and_then(|rights| snapshot.first_token_limit(rights));
    let request = Request {
        ticket: queue::Ticket {
            host,
            number: ticket,
        },
        weight: rights.map_or(1, |rights| rights.weight),
        max_waiting: rights.map_or(1, |rights| rights.waiting),
        rank: rights.map_or(u8::MAX, |rights| snapshot.rank(rights)),
        customer,
        prompt,
        max_output: output,
        prefixes,
        attempt,
        first_token_deadline: first_token_limit.map_or(node.now() + time_left, |limit| {
            node.now() + time_left.min(limit)
        }),
        deadline: node.now() + time_left,
    };
    let line = Line::new(Kind::Queued).key(key).customer(&request.customer);
    let detail = format!(
        "service={service} tier={} from={}",
        request.rank, request.ticket
    );
    node.timeline.note(line.detail(detail));
    let (sender, receiver) = oneshot::channel();
    let ticket = request.ticket.clone();
    if let Some(server) = running {
        let _ = sender.send(Ok(server.clone()));
        with_queue(node, &service, |queue, now| {
            queue.restore_running(request, &server, now);
        })?;
        return Ok(receiver);
    }
    lock(&node.waiting).insert(ticket.clone(), sender);
    let submitted = with_queue(node, &service, |queue, now| queue.submit(request, now));
    if let Err(refusal) = submitted {
        lock(&node.waiting).remove(&ticket);
        return Err(refusal);
    }
    Ok(receiver)
}

/// Applies an entry's report to the queue, or ignores it if another entry owns the service by now.
pub(super) fn report(node: &Node, service: &id::Service, ticket: &queue::Ticket, report: Report) {
    let _ = with_queue(node, service, |queue, now| {
        queue.report(ticket, report, now);
    });
}

/// Removes a request from the queue.
pub(super) fn cancel(node: &Node, service: &id::Service, ticket: &queue::Ticket) {
    lock(&node.waiting).remove(ticket);
    let _ = with_queue(node, service, |queue, now| queue.cancel(ticket, now));
}

/// Lets every owned queue decide again as time passes.
pub(super) fn tick(node: &Node) {
    let services: Vec<_> = lock(&node.queues).keys().cloned().collect();
    for service in services {
        let _ = with_queue(node, &service, curlewlift_core::queue::Queue::tick);
    }
}

/// Applies a view that has become active: drops the queues that another entry owns now, and the
/// requests of entries that are no longer members.
pub(super) fn apply_view(node: &Arc<Node>, roster: &Roster, previous: &Roster) {
    let now = node.now();
    let mut queues = lock(&node.queues);
    let mut dropped = Vec::new();
    queues.retain(|service, owned| {
        let is_owner = roster
            .owner(service)
            .is_some_and(|owner| owner.host == node.member.host);
        if !is_owner {
            dropped.extend(owned.queue.waiting_tickets().cloned());
        }
        is_owner
    });
    for (_, owned) in queues.iter_mut() {
        for member in previous.members.iter().filter(|member| !roster.has(member)) {
            owned.queue.remove_entry(&member.host, now);
        }
        deliver_decisions(node, &mut owned.queue, now);
    }
    drop(queues);
    let mut waiting = lock(&node.waiting);
    for ticket in dropped {
        if let Some(sender) = waiting.remove(&ticket) {
            let refusal = Refusal::new(Code::WrongView, "another entry owns the service now");
            let _ = sender.send(Err(refusal));
        }
    }
}

/// Numbers of waiting and running requests in the queues that this entry owns.
pub(super) fn count_requests(node: &Node) -> (usize, usize) {
    let queues = lock(&node.queues);
    let waiting = queues
        .values()
        .map(|owned| owned.queue.waiting_count())
        .sum();
    let running = queues
        .values()
        .map(|owned| owned.queue.running_count())
        .sum();
    (waiting, running)
}

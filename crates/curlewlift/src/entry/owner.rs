//! The queues that this entry owns.

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
use super::node::Word;
use super::node::lock;

/// How long a new owner listens for what runs already before it grants anything.
const GRACE: Duration = Duration::from_millis(300);

/// A queue that this entry owns.
pub(super) struct Owned {
    queue: Queue,
    since: Instant,
    revision: id::Revision,
}

/// Does `step` with the queue of `service`, and passes on what follows from it.
///
/// # Errors
///
/// [`Code::WrongView`] where this entry does not own the service.
pub(super) fn with(
    node: &Node,
    service: &id::Service,
    step: impl FnOnce(&mut Queue, Instant),
) -> Result<(), Refusal> {
    let roster = node.acting()?;
    let own = roster
        .owner(service)
        .is_some_and(|owner| owner.host == node.member.host);
    if !own {
        return Err(Refusal::new(
            Code::WrongView,
            "another entry owns the service",
        ));
    }
    let now = node.now();
    let snapshot = node.snapshot();
    let mut owned = lock(&node.owned);
    let entry = owned.entry(service.clone());
    let owned = entry.or_insert_with(|| begin(node, service, &roster, now));
    refresh(owned, service, &snapshot, now);
    step(&mut owned.queue, now);
    pass_on(node, &mut owned.queue, now);
    Ok(())
}

fn begin(node: &Node, service: &id::Service, roster: &Roster, now: Instant) -> Owned {
    let detail = format!("service={service} view={}", roster.number);
    node.timeline.note(Line::new(Kind::Owns).detail(detail));
    let mut queue = Queue::new(Fleet::default(), Tokens(u64::MAX));
    queue.set_grants_held(true, now);
    Owned {
        queue,
        since: now,
        revision: id::Revision::default(),
    }
}

/// Takes up a newer configuration, and ends the time of listening.
fn refresh(owned: &mut Owned, service: &id::Service, snapshot: &Snapshot, now: Instant) {
    if owned.revision != snapshot.revision {
        owned.revision = snapshot.revision;
        let specs = specs(service, snapshot);
        owned
            .queue
            .update_fleet(|fleet| fleet.set_servers(specs, now), now);
        if let Some(service) = snapshot.services.get(service) {
            owned.queue.set_work_limit(service.work);
        }
    }
    if now.since(owned.since) >= GRACE {
        owned.queue.set_grants_held(false, now);
    }
}

fn specs(service: &id::Service, snapshot: &Snapshot) -> Vec<Spec> {
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

/// Tells the waiting requests what the queue decided.
fn pass_on(node: &Node, queue: &mut Queue, now: Instant) {
    loop {
        let actions = queue.take_actions();
        if actions.is_empty() {
            return;
        }
        for action in actions {
            let (ticket, word) = match action {
                Action::Grant { ticket, pick } => (ticket, Ok(pick.name)),
                Action::Refuse { ticket, refusal } => {
                    note_shed(node, &ticket, &refusal);
                    (ticket, Err(refusal))
                }
            };
            let wait = lock(&node.waits).remove(&ticket);
            let heard = wait.is_some_and(|wait| wait.send(word).is_ok());
            if !heard {
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

/// Puts a request into the queue; the receiver is told once it is its turn.
pub(super) fn ask(node: &Node, call: QueueCall) -> Result<oneshot::Receiver<Word>, Refusal> {
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
            "only a request is put into a queue",
        ));
    };
    let snapshot = node.snapshot();
    let rights = snapshot.customers.get(&customer);
    let first = rights.and_then(|rights| snapshot.first(rights));
    let ask = Request {
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
        first_token_deadline: first.map_or(node.now() + time_left, |first| {
            node.now() + time_left.min(first)
        }),
        deadline: node.now() + time_left,
    };
    let line = Line::new(Kind::Queued).key(key).customer(&ask.customer);
    let detail = format!("service={service} tier={} from={}", ask.rank, ask.ticket);
    node.timeline.note(line.detail(detail));
    let (sender, receiver) = oneshot::channel();
    let ticket = ask.ticket.clone();
    if let Some(server) = running {
        let _ = sender.send(Ok(server.clone()));
        with(node, &service, |queue, now| {
            queue.restore_running(ask, &server, now);
        })?;
        return Ok(receiver);
    }
    lock(&node.waits).insert(ticket.clone(), sender);
    let asked = with(node, &service, |queue, now| queue.submit(ask, now));
    if let Err(refusal) = asked {
        lock(&node.waits).remove(&ticket);
        return Err(refusal);
    }
    Ok(receiver)
}

/// Takes in what an entry reports; nothing where the service is owned elsewhere by now.
pub(super) fn report(node: &Node, service: &id::Service, ticket: &queue::Ticket, report: Report) {
    let _ = with(node, service, |queue, now| {
        queue.report(ticket, report, now);
    });
}

/// Takes a request out of the queue.
pub(super) fn cancel(node: &Node, service: &id::Service, ticket: &queue::Ticket) {
    lock(&node.waits).remove(ticket);
    let _ = with(node, service, |queue, now| queue.cancel(ticket, now));
}

/// Time has passed.
pub(super) fn tick(node: &Node) {
    let services: Vec<_> = lock(&node.owned).keys().cloned().collect();
    for service in services {
        let _ = with(node, &service, curlewlift_core::queue::Queue::tick);
    }
}

/// A view has become active: lets go of what is owned elsewhere now, and of hosts that are gone.
pub(super) fn adopt(node: &Arc<Node>, roster: &Roster, previous: &Roster) {
    let now = node.now();
    let mut owned = lock(&node.owned);
    let mut gone = Vec::new();
    owned.retain(|service, owned| {
        let own = roster
            .owner(service)
            .is_some_and(|owner| owner.host == node.member.host);
        if !own {
            gone.extend(owned.queue.waiting_tickets().cloned());
        }
        own
    });
    for (_, owned) in owned.iter_mut() {
        for member in previous.members.iter().filter(|member| !roster.has(member)) {
            owned.queue.remove_entry(&member.host, now);
        }
        pass_on(node, &mut owned.queue, now);
    }
    drop(owned);
    let mut waits = lock(&node.waits);
    for ticket in gone {
        if let Some(wait) = waits.remove(&ticket) {
            let refusal = Refusal::new(Code::WrongView, "another entry owns the service now");
            let _ = wait.send(Err(refusal));
        }
    }
}

/// Requests that wait and run in the queues owned here.
pub(super) fn counts(node: &Node) -> (usize, usize) {
    let owned = lock(&node.owned);
    let waiting = owned
        .values()
        .map(|owned| owned.queue.waiting_count())
        .sum();
    let running = owned
        .values()
        .map(|owned| owned.queue.running_count())
        .sum();
    (waiting, running)
}

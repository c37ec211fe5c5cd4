//! Slots at backend servers, granted to the requests of all gateways.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::gateway::AvoidedServer;
use curlewlift_core::gateway::Grant;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::RejectedRequest;
use curlewlift_core::gateway::Report;
use curlewlift_core::gateway::SlotDecision;
use curlewlift_core::gateway::SlotRequest;
use curlewlift_core::gateway::Ticket;
use curlewlift_core::pool::PaceChange;
use curlewlift_core::quarantine::Rejection;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::rpc::HubReply;

use super::hub;
use super::replica::State;

/// How long a request waits for a new hub's first server list: three messages between the hub and
/// the gateway that fetches the list, and the delay of a busy host.
///
/// If requests were rejected at once, all gateways would decide locally just when many requests
/// are waiting, each unaware of the others.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(200);

/// How long a request waits for a new hub to learn what gateways may have admitted of its customer's quota: two rounds of
/// polls, and the delay of a busy host.
const FIRST_QUOTA_TIMEOUT: Duration = Duration::from_millis(700);

/// Interval at which such a request asks again.
const QUOTA_CHECK_INTERVAL: Duration = Duration::from_millis(20);

type Shared = Rc<RefCell<State>>;

/// A queued request; removed from the queue when it is dropped.
struct QueuedRequest {
    state: Shared,
    ticket: Ticket,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        state.pending_slots.remove(&self.ticket);
        let now = state.clock.now();
        if let Some(hub) = &mut state.hub {
            hub.cancel(&self.ticket, now);
        }
    }
}

/// What becomes of a queued request.
pub(super) type SlotAnswer = Result<Grant, NoGrant>;

/// Why a queued request gets no slot.
#[derive(Clone, Copy, Debug)]
pub(super) enum NoGrant {
    /// There is no room for it. Its caller should retry after this time, if that is known.
    NoRoom(Option<Duration>),
    /// Quarantine rejects it.
    Rejected(Rejection),
}

/// The immediate result of a slot request.
enum Enqueued {
    /// The request is queued, and the grant or the rejection is sent to the receiver.
    Waiting(QueuedRequest, oneshot::Receiver<SlotAnswer>),
    /// The request is decided without waiting.
    Decided(HubReply),
}

/// Waits for a slot until the wait limit of the request.
pub(super) async fn request_slot(
    state: &Shared,
    mut request: SlotRequest,
) -> Result<HubReply, Refusal> {
    let until = Instant::now() + request.max_wait;
    let list_deadline = until.min(Instant::now() + FIRST_LIST_TIMEOUT);
    let _ = tokio::time::timeout_at(list_deadline, wait_for_server_list(state)).await;
    let quota_deadline = until.min(Instant::now() + FIRST_QUOTA_TIMEOUT);
    let (queued, answer) = loop {
        let again = is_settling(state).then(|| request.clone());
        match (enqueue(state, request)?, again) {
            (Enqueued::Waiting(queued, answer), _) => break (queued, answer),
            (Enqueued::Decided(HubReply::QuotaExceeded(wait)), Some(again))
                if Instant::now() < quota_deadline
                    && (wait <= QUOTA_CHECK_INTERVAL || awaits_standbys(state)) =>
            {
                tokio::time::sleep(QUOTA_CHECK_INTERVAL).await;
                request = again;
            }
            (Enqueued::Decided(reply), _) => return Ok(reply),
        }
    };
    let answer = match tokio::time::timeout_at(until, answer).await {
        Ok(answer) => answer.unwrap_or(Err(NoGrant::NoRoom(None))),
        Err(_) => Err(NoGrant::NoRoom(state.borrow_mut().give_up(&queued.ticket))),
    };
    drop(queued);
    if let Some(redirect) = hub::redirect_unless_leading(&state.borrow()) {
        return Ok(redirect);
    }
    Ok(match answer {
        Ok(grant) => HubReply::Slot(grant),
        Err(NoGrant::NoRoom(retry_after)) => HubReply::NoRoom(retry_after),
        Err(NoGrant::Rejected(why)) => HubReply::Rejected(why),
    })
}

/// Waits until the hub has a server list.
async fn wait_for_server_list(state: &Shared) {
    let updates = Rc::clone(&state.borrow().updates);
    loop {
        let update = updates.notified();
        let has_list = |hub: &Hub| hub.get_server_list().version != 0;
        if state.borrow().hub.as_ref().is_none_or(has_list) {
            return;
        }
        update.await;
    }
}

/// Whether the hub is so new that it may not know yet what gateways have admitted.
fn is_settling(state: &Shared) -> bool {
    let state = state.borrow();
    let now = state.clock.now();
    let hub = state.hub.as_ref();
    hub.is_some_and(|hub| hub.is_settling(now))
}

/// Whether the hub has not heard from all gateways that may admit requests without it.
fn awaits_standbys(state: &Shared) -> bool {
    let state = state.borrow();
    state.hub.as_ref().is_some_and(Hub::awaits_standbys)
}

/// Queues a request, unless it is decided at once.
fn enqueue(state: &Shared, request: SlotRequest) -> Result<Enqueued, Refusal> {
    let mut borrowed = state.borrow_mut();
    let now = borrowed.clock.now();
    let hub = borrowed.hub.as_mut().ok_or_else(hub::not_ready)?;
    if hub.get_server_list().version == 0 {
        return Err(hub::not_ready());
    }
    let retried = request.needs_retry.then(|| request.service.clone());
    let decision = hub.request_slot(request, now);
    if let Some(service) = retried {
        let left = hub.retries_left(&service, now);
        metrics::gauge!("curlewlift_hub_retries_left", "service" => service.to_string())
            .set(f64::from(left));
    }
    let (ticket, displaced) = match decision {
        SlotDecision::Queued(ticket, displaced) => (ticket, displaced),
        SlotDecision::NoServers => return Ok(Enqueued::Decided(HubReply::NoRoom(None))),
        SlotDecision::Rejected(why) => return Ok(Enqueued::Decided(HubReply::Rejected(why))),
        SlotDecision::NoRetry => return Ok(Enqueued::Decided(HubReply::NoRetry)),
        SlotDecision::NoVersion => return Ok(Enqueued::Decided(HubReply::NoVersion)),
        SlotDecision::QuotaExceeded(refilled) => {
            return Ok(Enqueued::Decided(HubReply::QuotaExceeded(refilled)));
        }
    };
    let (sender, answer) = oneshot::channel();
    borrowed.pending_slots.insert(ticket.clone(), sender);
    if let Some(displaced) = displaced {
        borrowed.notify_rejected(&displaced);
    }
    borrowed.grant_slots();
    let state = Rc::clone(state);
    Ok(Enqueued::Waiting(QueuedRequest { state, ticket }, answer))
}

/// Counts a rejected request whose caller was told when to retry.
fn count_scheduled(ticket: &Ticket, retry_after: Option<Duration>) {
    if retry_after.is_some() {
        let service = ticket.service().to_string();
        metrics::counter!("curlewlift_retries_scheduled", "service" => service).increment(1);
    }
}

/// Processes a gateway's report on its attempts.
pub(super) fn report(state: &Shared, report: &Report) -> Result<HubReply, Refusal> {
    let mut state = state.borrow_mut();
    let now = state.clock.now();
    state.record_in_effect(&report.host, report.table_in_effect);
    let hub = state.hub.as_mut().ok_or_else(hub::not_ready)?;
    hub.report(report, now);
    state.grant_slots();
    Ok(HubReply::Acknowledged)
}

impl State {
    /// Grants free slots to queued requests, and rejects queued requests that cannot be served in time.
    pub(super) fn grant_slots(&mut self) {
        let now = self.clock.now();
        let Some(hub) = &mut self.hub else {
            return;
        };
        for (ticket, grant) in hub.grant_slots(now) {
            // If the request has gone, no report confirms the grant, and the hub soon stops counting it.
            if let Some(sender) = self.pending_slots.remove(&ticket) {
                let _ = sender.send(Ok(grant));
            }
        }
        let limit_wait = hub.take_limit_wait().as_millis();
        metrics::counter!("curlewlift_limit_wait_ms")
            .increment(u64::try_from(limit_wait).unwrap_or(0));
        for (service, late, changes) in hub.take_placements() {
            metrics::counter!("curlewlift_placed_late", "service" => service.to_string())
                .increment(late);
            for PaceChange {
                incarnation,
                relative_time,
            } in changes
            {
                self.timeline
                    .note(Line::new(Kind::PaceChanged).detail(format_args!(
                        "service={service} server={incarnation} relative_time={relative_time:.1}"
                    )));
            }
        }
        for avoided in hub.take_avoided() {
            let AvoidedServer {
                service,
                incarnation,
                host,
                outcome,
                avoid_for,
            } = avoided;
            metrics::counter!("curlewlift_servers_avoided", "service" => service.to_string())
                .increment(1);
            let avoid_ms = avoid_for.as_millis();
            self.timeline
                .note(Line::new(Kind::ServerAvoided).detail(format_args!(
                    "service={service} server={incarnation} host={host} outcome={outcome:?} avoid_ms={avoid_ms}"
                )));
        }
        for rejected in hub.reject_doomed(now) {
            self.notify_rejected(&rejected);
        }
    }

    /// Rejects a request whose wait limit has passed, and returns after how long its caller should retry.
    fn give_up(&mut self, ticket: &Ticket) -> Option<Duration> {
        let now = self.clock.now();
        let retry_after = self.hub.as_mut()?.give_up(ticket.clone(), now);
        count_scheduled(ticket, retry_after);
        retry_after
    }

    /// Tells a request that it gets no slot, and when its caller should retry.
    fn notify_rejected(&mut self, rejected: &RejectedRequest) {
        count_scheduled(&rejected.ticket, rejected.retry_after);
        if let Some(sender) = self.pending_slots.remove(&rejected.ticket) {
            let no_room = NoGrant::NoRoom(rejected.retry_after);
            let why = rejected.quarantined.map_or(no_room, NoGrant::Rejected);
            let _ = sender.send(Err(why));
        }
    }

    /// Advances the hub's timers, and grants the slots that have become free.
    pub(super) fn tick_slots(&mut self) {
        let now = self.clock.now();
        if let Some(hub) = &mut self.hub {
            hub.tick(now);
            if hub.publish_limits(now) {
                self.updates.notify_waiters();
            }
        }
        self.record_slot_usage();
        self.grant_slots();
        self.note_in_flight_limits();
    }
}

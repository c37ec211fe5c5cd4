//! Places at backend servers, given to the requests of all gateways.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::code::Refusal;
use curlewlift_core::gateway::Grant;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::Report;
use curlewlift_core::gateway::SlotDecision;
use curlewlift_core::gateway::SlotRequest;
use curlewlift_core::gateway::Ticket;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::rpc::HubReply;

use super::hub;
use super::replica::State;

/// How long a request waits for a new hub's first list: three words between the hub and the gateway
/// that fetches the list, and a busy host's delay. Turned away at once, all gateways would choose by
/// themselves just when a crowd has gathered, each unaware of the others.
const FIRST_LIST: Duration = Duration::from_millis(200);

type Shared = Rc<RefCell<State>>;

/// A place in line; left when it is dropped.
struct InLine {
    state: Shared,
    ticket: Ticket,
}

impl Drop for InLine {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        state.places.remove(&self.ticket);
        let now = state.clock.now();
        if let Some(hub) = &mut state.hub {
            hub.cancel(&self.ticket, now);
        }
    }
}

/// What asking for a place comes to at once.
enum Lined {
    /// It waits in line, and is told here.
    Up(InLine, oneshot::Receiver<Grant>),
    /// It need not wait for this answer.
    Answered(HubReply),
}

/// Waits for a place for as long as the request may.
pub(super) async fn want(state: &Shared, want: SlotRequest) -> Result<HubReply, Refusal> {
    let until = Instant::now() + want.max_wait;
    let listed = until.min(Instant::now() + FIRST_LIST);
    let _ = tokio::time::timeout_at(listed, first_list(state)).await;
    let (line, place) = match line_up(state, want)? {
        Lined::Up(line, place) => (line, place),
        Lined::Answered(reply) => return Ok(reply),
    };
    let place = tokio::time::timeout_at(until, place).await;
    drop(line);
    if let Some(elsewhere) = hub::elsewhere(&state.borrow()) {
        return Ok(elsewhere);
    }
    Ok(HubReply::Place(place.ok().and_then(Result::ok)))
}

/// Waits until the hub has a list of servers.
async fn first_list(state: &Shared) {
    let news = Rc::clone(&state.borrow().news);
    loop {
        let listed = news.notified();
        let hub_listed = |hub: &Hub| hub.get_server_list().version != 0;
        if state.borrow().hub.as_ref().is_none_or(hub_listed) {
            return;
        }
        listed.await;
    }
}

/// Puts a request in line, or gives the answer that there is at once.
fn line_up(state: &Shared, want: SlotRequest) -> Result<Lined, Refusal> {
    let mut borrowed = state.borrow_mut();
    let now = borrowed.clock.now();
    let hub = borrowed.hub.as_mut().ok_or_else(hub::begun)?;
    if hub.get_server_list().version == 0 {
        return Err(hub::begun());
    }
    let (ticket, last) = match hub.request_slot(want, now) {
        SlotDecision::Queued(ticket, last) => (ticket, last),
        SlotDecision::NoServers => return Ok(Lined::Answered(HubReply::Place(None))),
        SlotDecision::Rejected(why) => return Ok(Lined::Answered(HubReply::Withheld(why))),
        SlotDecision::NoRetry => return Ok(Lined::Answered(HubReply::NoRetry)),
        SlotDecision::QuotaExceeded(filled) => {
            return Ok(Lined::Answered(HubReply::Beyond(filled)));
        }
    };
    let (sender, place) = oneshot::channel();
    borrowed.places.insert(ticket.clone(), sender);
    if let Some(last) = last {
        // Dropping the sender tells who waits that it lost its place.
        borrowed.places.remove(&last);
    }
    borrowed.serve();
    let state = Rc::clone(state);
    Ok(Lined::Up(InLine { state, ticket }, place))
}

/// Takes note of what a gateway tells of its sendings.
pub(super) fn tell(state: &Shared, report: &Report) -> Result<HubReply, Refusal> {
    let mut state = state.borrow_mut();
    let now = state.clock.now();
    let hub = state.hub.as_mut().ok_or_else(hub::begun)?;
    hub.report(report, now);
    state.serve();
    Ok(HubReply::Told)
}

impl State {
    /// Gives places to those in line for whom there is room.
    pub(super) fn serve(&mut self) {
        let now = self.clock.now();
        let Some(hub) = &mut self.hub else {
            return;
        };
        for (ticket, grant) in hub.grant_slots(now) {
            // A grant whose request has gone is in no report, and soon counts no more.
            if let Some(place) = self.places.remove(&ticket) {
                let _ = place.send(grant);
            }
        }
        let held = hub.take_limit_wait().as_millis();
        metrics::counter!("curlewlift_limit_wait_ms").increment(u64::try_from(held).unwrap_or(0));
        for ticket in hub.reject_doomed(now) {
            // Dropping the sender tells who waits that there will be no place.
            self.places.remove(&ticket);
        }
    }

    /// What only the passing of time has made possible.
    pub(super) fn tick_places(&mut self) {
        let now = self.clock.now();
        if let Some(hub) = &mut self.hub {
            hub.tick(now);
            if hub.publish_limits(now) {
                self.news.notify_waiters();
            }
        }
        self.serve();
    }
}

//! Uses this gateway's share of the slots of each service while the hub can't be reached, and lends slots of it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::gateway::SlotRequest;
use curlewlift_core::gateway::SlotShare;
use curlewlift_core::id;
use curlewlift_core::pool::Part;
use curlewlift_core::pool::Pool;
use curlewlift_core::pool::Request;
use curlewlift_core::quota::Charge;

use crate::rpc::HubCall;
use crate::rpc::HubReply;
use crate::rpc::Method;
use crate::rpc::RenewCall;

use super::hub_slots::AttemptContext;
use super::loan::Loan;
use super::local_quota;
use super::log::Line;
use super::node::Node;
use super::slot::Slot;
use super::slot_queue::NoSlot;
use super::slot_queue::wait_in_queue;

/// How much longer than the wait limit a call for a slot may take: a round trip between data halls, and the delay of a
/// busy host.
const DELIVERY_MARGIN: Duration = Duration::from_millis(40);

/// How long after the deadline of its request a lent slot counts as free if it was not returned: responses that are late
/// are delivered as well.
const LOAN_MARGIN: Duration = Duration::from_secs(2);

/// What a gateway may use of a service's slots by its own decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LocalShare {
    /// There is no limit: shares of slots are not switched on for the service.
    Unlimited,
    /// Nothing, as the hub grants all slots.
    AtHub,
    /// This many slots, as the hub is silent.
    Usable(u32),
}

impl Node {
    /// Sets this gateway's share of the slots from the hub's reply to a poll that was sent at `polled_at`. Requests that
    /// wait for the share ask the hub again.
    pub(super) fn set_slot_share(&self, share: Option<SlotShare>, polled_at: clock::Instant) {
        let now = self.now();
        self.local_slots
            .borrow_mut()
            .set_share(share, polled_at, now);
        let started = std::mem::take(&mut self.loans.borrow_mut().started);
        if started > 0 {
            Line::new(Kind::SlotsReturned)
                .with("started", started)
                .write();
        }
        self.hub_wakeup.notify_waiters();
    }

    /// What this gateway may use of a service's slots by its own decision.
    pub(super) fn local_share(&self, name: &id::Service) -> LocalShare {
        let (timeout, now) = (self.hub_timeout(), self.now());
        let local_slots = self.local_slots.borrow();
        let share = self.with_service(name, |service| {
            if !service.pool.uses(Part::LocalSlots) {
                return LocalShare::Unlimited;
            }
            if !local_slots.is_hub_silent(timeout, now) {
                return LocalShare::AtHub;
            }
            let share = local_slots.usable_share(timeout, now);
            let slots = share.map_or(0, |share| share.slots(service.pool.total_slots()));
            LocalShare::Usable(slots)
        });
        share.unwrap_or(LocalShare::Unlimited)
    }

    /// Limits what the pool of a service assigns now to this gateway's share.
    pub(super) fn limit_slots(&self, name: &id::Service, pool: &mut Pool) {
        let (timeout, now) = (self.hub_timeout(), self.now());
        let begins = self.local_slots.borrow().limit(pool, timeout, now);
        if let Some(slots) = begins {
            Line::new(Kind::SlotsLocal)
                .with("service", name.to_string())
                .with("slots", pool.total_slots())
                .with("share", slots)
                .with("in_flight", pool.own_requests())
                .write();
        }
    }
}

/// Waits for a slot of this gateway's share, which has `slots`, or of a lender's if there are none. The request is charged
/// to the quota once it has the slot, so that one that gets none costs nothing.
pub(super) async fn wait(
    node: &Rc<Node>,
    context: AttemptContext<'_>,
    request: &Request,
    charge: Option<&Charge>,
    slots: u32,
    wait_limit: Duration,
) -> Result<Slot, NoSlot> {
    let slot = if slots > 0 {
        wait_for_share(node, context, request.clone(), wait_limit).await?
    } else {
        borrow(node, context, request, wait_limit).await?
    };
    if let Some(charge) = charge
        && !local_quota::acquire(node, charge).await
    {
        return Err(NoSlot::HubUnreachable);
    }
    node.loans.borrow_mut().started += 1;
    let source = if slots > 0 { "share" } else { "loan" };
    metrics::counter!("curlewlift_local_slots_used", "source" => source, "service" => context.service.to_string())
        .increment(1);
    Ok(slot)
}

/// Waits for a slot of this gateway's share until the hub replies again.
async fn wait_for_share(
    node: &Rc<Node>,
    context: AttemptContext<'_>,
    request: Request,
    wait_limit: Duration,
) -> Result<Slot, NoSlot> {
    tokio::select! {
        slot = wait_in_queue(node, context, request, wait_limit) => slot,
        () = node.hub_wakeup.notified() => Err(NoSlot::HubBack),
    }
}

/// Borrows a slot from one of the gateways that lend slots.
async fn borrow(
    node: &Rc<Node>,
    context: AttemptContext<'_>,
    request: &Request,
    wait_limit: Duration,
) -> Result<Slot, NoSlot> {
    let until = node.now() + wait_limit;
    let lenders = node.slot_lenders.borrow().sample();
    for lender in lenders {
        let remaining = until.since(node.now());
        let slot_request = node.slot_request(context, request, None, remaining);
        let call = RenewCall::Hub(HubCall::BorrowSlot(Box::new(slot_request)));
        let timeout = remaining + DELIVERY_MARGIN;
        let reply: Result<HubReply, Refusal> =
            node.rpc.call(lender, Method::Renew, &call, timeout).await;
        match reply {
            Ok(HubReply::SlotLent(Some((number, server)))) => {
                let slot = Slot::new(node, context, Arc::new(server), request.prompt);
                return Ok(slot.lent_by(Loan { lender, number }));
            }
            Ok(_) => {}
            Err(why) => log::debug!("call to slot lender {lender} failed: {why}"),
        }
    }
    Err(NoSlot::NoShare)
}

/// Lends a slot of this gateway's share to another gateway's request, which waits in the same queue as those of callers
/// here. The slot counts here until it is returned.
pub(super) async fn lend(node: &Rc<Node>, request: &SlotRequest) -> HubReply {
    let LocalShare::Usable(1..) = node.local_share(&request.service) else {
        return HubReply::SlotLent(None);
    };
    let rule = request.rule.clone().unwrap_or_default();
    let context = AttemptContext {
        service: &request.service,
        rule: &rule,
        features: &request.features,
        time_left: request.time_left,
        allowed_halls: None,
        allowed_versions: None,
        needs_retry: false,
    };
    let pool_request = request.to_pool_request(node.now());
    let Ok(slot) = wait_for_share(node, context, pool_request, request.max_wait).await else {
        return HubReply::SlotLent(None);
    };
    let server = slot.server.as_ref().clone();
    let (number, returned) = node.loans.borrow_mut().add();
    let (node, lifetime) = (Rc::clone(node), request.time_left + LOAN_MARGIN);
    tokio::task::spawn_local(async move {
        let _ = tokio::time::timeout(lifetime, returned).await;
        node.loans.borrow_mut().end(number);
        drop(slot);
    });
    HubReply::SlotLent(Some((number, server)))
}

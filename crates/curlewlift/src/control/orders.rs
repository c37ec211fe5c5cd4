//! Operators' orders on the leader: each is accepted if its precondition holds, and committed to the log.

use std::cell::RefCell;
use std::rc::Rc;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::order::Order;
use curlewlift_core::order::Precondition;
use curlewlift_core::order::not_carried_out;
use tokio::sync::oneshot;

use crate::process::unix_ms;
use crate::rpc::HubReply;

use super::hub;
use super::replica::CommandResult;
use super::replica::State;
use super::rollouts;

type Shared = Rc<RefCell<State>>;

/// How far this leader has come in accepting orders.
pub(super) fn position(state: &State) -> Result<HubReply, Refusal> {
    let orders = state.orders.as_ref().ok_or_else(hub::not_ready)?;
    Ok(HubReply::OrderPosition(orders.position(state.clock.now())))
}

/// Carries out an order; returns once it is committed, or at once if it would change nothing.
pub(super) async fn carry_out(
    state: &Shared,
    order: Order,
    precondition: &Precondition,
) -> Result<HubReply, Refusal> {
    let result = commit(state, order.clone(), precondition).await;
    let code = result
        .as_ref()
        .err()
        .map_or(0, |why| why.get_code().number());
    if let Some(line) = line(&order, code) {
        state.borrow().timeline.note(line);
    }
    result.map(|()| HubReply::OrderAccepted)
}

/// Proposes the order, and waits until it is committed.
async fn commit(state: &Shared, order: Order, precondition: &Precondition) -> Result<(), Refusal> {
    if let Order::RollOut(order) = &order {
        rollouts::check_service(state, &order.service).await?;
    }
    let proposed = state.borrow_mut().propose_order(order, precondition)?;
    let Some(committed) = proposed else {
        return Ok(());
    };
    let leader_changed = "the leader changed; send the same order again to learn its result";
    committed
        .await
        .map_err(|_| Refusal::new(Code::Unreachable, leader_changed))??;
    Ok(())
}

impl State {
    /// Accepts an order and proposes it to the log; `None` if it would change nothing.
    fn propose_order(
        &mut self,
        order: Order,
        precondition: &Precondition,
    ) -> Result<Option<oneshot::Receiver<CommandResult>>, Refusal> {
        // An order that is not committed yet may still change what this one would not.
        let is_settled = self.replica.last_index() == self.replica.get_commit();
        if self.machine.has_order(&order)? && is_settled {
            return Ok(None);
        }
        self.ensure_enough_replicas()
            .map_err(|why| not_carried_out(&why))?;
        let now = self.clock.now();
        let orders = self.orders.as_mut().ok_or_else(hub::not_ready)?;
        orders.accept(precondition, order.subject(), now)?;
        let record = order.into_record(unix_ms());
        let proposed = self.propose(&record).map(Some);
        proposed.map_err(|why| not_carried_out(&why))
    }
}

/// The event of an order that was answered with `code`.
fn line(order: &Order, code: u16) -> Option<Line> {
    match order {
        Order::Evacuate(order) => {
            let (hall, action) = (&order.hall, order.action);
            let line = Line::new(Kind::EvacuationOrdered);
            Some(line.detail(format_args!("hall={hall} action={action} code={code}")))
        }
        Order::RollOut(order) => {
            let (service, target) = (&order.service, &order.target);
            let seconds = order.duration.as_secs_f64();
            let line = Line::new(Kind::RolloutOrdered);
            Some(line.detail(format_args!(
                "service={service} target={target} seconds={seconds} code={code}"
            )))
        }
        // A release is noted when it is applied.
        Order::ReleasePart(_) => None,
    }
}

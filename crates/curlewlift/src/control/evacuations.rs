//! Evacuations of data halls on the leader: an order is committed to the log, then applied to the hub.

use std::cell::RefCell;
use std::rc::Rc;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::evacuation::Order;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::state::Record;

use crate::process::unix_ms;
use crate::rpc::HubReply;

use super::replica::State;

type Shared = Rc<RefCell<State>>;

/// Commits an order; returns once it is committed, or at once if it would change nothing.
pub(super) async fn order(state: &Shared, mut order: Order) -> Result<HubReply, Refusal> {
    order.given_ms = unix_ms();
    let result = commit(state, order.clone()).await;
    let code = result
        .as_ref()
        .err()
        .map_or(0, |why| why.get_code().number());
    let (hall, action) = (&order.hall, order.action);
    let line = Line::new(Kind::EvacuationOrdered)
        .detail(format_args!("hall={hall} action={action} code={code}"));
    state.borrow().timeline.note(line);
    result.map(|()| HubReply::OrderAccepted)
}

/// Proposes the order, and waits until it is committed.
async fn commit(state: &Shared, order: Order) -> Result<(), Refusal> {
    let committed = {
        let mut state = state.borrow_mut();
        // A leader that a majority confirms has applied everything that is committed.
        if state.machine.get_evacuated_halls().is_applied(&order) {
            return Ok(());
        }
        state.ensure_enough_replicas()?;
        state.propose(&Record::Evacuation(order))?
    };
    let leader_changed = "the leader changed; send the same order again to learn its result";
    committed
        .await
        .map_err(|_| Refusal::new(Code::Unreachable, leader_changed))??;
    Ok(())
}

impl State {
    /// Notes a committed order on the timeline and applies it to the hub.
    pub(super) fn apply_evacuation_order(&mut self, order: &Order) {
        let (hall, action, given_ms) = (&order.hall, order.action, order.given_ms);
        let detail = format!("hall={hall} action={action} given_ms={given_ms}");
        self.timeline
            .note(Line::new(Kind::EvacuationAgreed).detail(detail));
        self.apply_evacuated_halls();
    }

    /// Updates the hub to the evacuated data halls.
    pub(super) fn apply_evacuated_halls(&mut self) {
        let Some(hub) = &mut self.hub else {
            return;
        };
        let evacuated = self.machine.get_evacuated_halls();
        hub.apply_evacuations(evacuated);
        #[allow(clippy::cast_precision_loss)]
        metrics::gauge!("curlewlift_halls_evacuated").set(evacuated.iter().count() as f64);
        self.updates.notify_waiters();
    }
}

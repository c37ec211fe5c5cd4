//! Evacuations of data halls beside the leader: orders are agreed, then taken up by the hub.

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

/// Takes an order; answered once it is agreed, or where it would change nothing.
pub(super) async fn order(state: &Shared, mut order: Order) -> Result<HubReply, Refusal> {
    order.given_ms = unix_ms();
    let answer = agree(state, order.clone()).await;
    let code = answer
        .as_ref()
        .err()
        .map_or(0, |why| why.get_code().number());
    let (hall, action) = (&order.hall, order.action);
    let line = Line::new(Kind::EvacuationOrdered)
        .detail(format_args!("hall={hall} action={action} code={code}"));
    state.borrow().timeline.note(line);
    answer.map(|()| HubReply::OrderAccepted)
}

async fn agree(state: &Shared, order: Order) -> Result<(), Refusal> {
    let wait = {
        let mut state = state.borrow_mut();
        // Leading surely and settled, what is applied here is what is committed.
        if state.machine.get_evacuated_halls().is_applied(&order) {
            return Ok(());
        }
        state.outlives_losses()?;
        state.propose(&Record::Evacuation(order))?
    };
    let lost = "the leader changed; send the same order again to learn what became of it";
    wait.await
        .map_err(|_| Refusal::new(Code::Unreachable, lost))??;
    Ok(())
}

impl State {
    /// Takes up an order that was agreed.
    pub(super) fn take_up_evacuation(&mut self, order: &Order) {
        let (hall, action, given) = (&order.hall, order.action, order.given_ms);
        let detail = format!("hall={hall} action={action} given_ms={given}");
        self.timeline
            .note(Line::new(Kind::EvacuationAgreed).detail(detail));
        self.take_up_evacuated();
    }

    /// Gives the hub the data halls that are evacuated.
    pub(super) fn take_up_evacuated(&mut self) {
        let Some(hub) = &mut self.hub else {
            return;
        };
        let evacuated = self.machine.get_evacuated_halls();
        hub.apply_evacuations(evacuated);
        #[allow(clippy::cast_precision_loss)]
        metrics::gauge!("curlewlift_halls_evacuated").set(evacuated.iter().count() as f64);
        self.news.notify_waiters();
    }
}

//! Roll-outs beside the leader: orders are agreed, read, and carried on by what the hub sees.

use std::cell::RefCell;
use std::rc::Rc;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::id;
use curlewlift_core::rollout::Order;
use curlewlift_core::rollout::Plans;
use curlewlift_core::rollout::Step;
use curlewlift_core::state::Record;

use crate::rpc::HubReply;

use super::hub;
use super::replica::State;

type Shared = Rc<RefCell<State>>;

/// Takes an order; answered once it is agreed, or where it was taken before.
pub(super) async fn order(state: &Shared, mut order: Order) -> Result<HubReply, Refusal> {
    order.given_ms = crate::process::unix_ms();
    let detail = format!(
        "service={} target={} seconds={}",
        order.service,
        order.target,
        order.duration.as_secs_f64()
    );
    let answer = agree(state, order).await;
    let code = answer
        .as_ref()
        .err()
        .map_or(0, |why| why.get_code().number());
    let line = Line::new(Kind::RolloutOrdered).detail(format_args!("{detail} code={code}"));
    state.borrow().timeline.note(line);
    answer.map(|()| HubReply::Ordered)
}

async fn agree(state: &Shared, order: Order) -> Result<(), Refusal> {
    let wait = {
        let mut state = state.borrow_mut();
        state.has_service(&order.service)?;
        let plans = state.machine.get_rollouts();
        plans.check_order(&order)?;
        if plans.has_order(&order) {
            return Ok(());
        }
        state.outlives_losses()?;
        state.propose(&Record::Rollout(Step::Ordered(order)))?
    };
    let lost = "the leader changed; send the same order again to learn what became of it";
    wait.await
        .map_err(|_| Refusal::new(Code::Unreachable, lost))??;
    Ok(())
}

/// How far the last roll-out of a service has come, surely.
pub(super) async fn read(state: &Shared, service: &id::Service) -> Result<HubReply, Refusal> {
    hub::confirm(state).await?;
    let state = state.borrow();
    let last = state.machine.get_rollouts().last_order(service);
    let last = last.map(|(order, phase)| (order.target.clone(), phase));
    Ok(HubReply::Rollout(last))
}

impl State {
    /// Whether the table in force has a service, and roll-outs are to be had at all.
    fn has_service(&self, service: &id::Service) -> Result<(), Refusal> {
        let Some(gateways) = &self.gateways else {
            return Err(hub::begun());
        };
        if gateways.tuning.rollouts.is_none() {
            let why = "roll-outs are not to be had here: the settings bound no version on trial";
            return Err(Refusal::new(Code::Unknown, why));
        }
        let publication = self.machine.get_publication();
        if publication.version == 0 {
            return Err(Refusal::new(Code::NoTable, "no routing table is in force"));
        }
        let table = (gateways.decode)(publication)?;
        if table.get_services().contains_key(service) {
            return Ok(());
        }
        let why = format!("the routing table has no service `{service}`");
        Err(Refusal::new(Code::UnknownService, why))
    }

    /// Takes up a step that was agreed in `term`; `before` is what was agreed before it.
    pub(super) fn take_up_step(&mut self, step: &Step, before: &Plans, term: id::Term) {
        // One of an earlier term was taken under an earlier hub, which may have given places by it.
        let own = match step {
            Step::Ordered(order) if term == self.replica.get_term() && !before.has_order(order) => {
                Some(order)
            }
            _ => None,
        };
        self.take_up_plans(own);
    }

    /// Gives the hub the roll-outs as they are agreed.
    pub(super) fn take_up_plans(&mut self, own: Option<&Order>) {
        let now = self.clock.now();
        let Some(hub) = &mut self.hub else {
            return;
        };
        hub.apply_plans(
            self.machine.get_rollouts(),
            own,
            crate::process::unix_ms(),
            now,
        );
        self.news.notify_waiters();
    }

    /// Proposes what is to be agreed of roll-outs.
    pub(super) fn tend_rollouts(&mut self) {
        let now = self.clock.now();
        let Some(hub) = &mut self.hub else {
            return;
        };
        for (step, why) in hub.propose_rollout_steps(now) {
            if let Step::Advanced {
                service,
                target,
                phase,
            } = &step
            {
                let detail = format!("service={service} target={target} phase={phase} {why}");
                self.timeline
                    .note(Line::new(Kind::RolloutAdvanced).detail(detail));
                metrics::counter!("curlewlift_rollouts", "phase" => phase.to_string()).increment(1);
            }
            // A step that is lost is proposed again, by this leader or by the next one.
            if let Err(why) = self.propose(&Record::Rollout(step)) {
                log::warn!("a roll-out stays as it is: {why}");
            }
        }
    }
}

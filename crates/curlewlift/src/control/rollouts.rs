//! Rollouts on the leader: checks orders, reads their progress, and advances them by the hub's observations.

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

use crate::blocking;
use crate::rpc::HubReply;

use super::hub;
use super::replica::State;

type Shared = Rc<RefCell<State>>;

/// Checks that the active table has the service, and that rollouts are enabled.
pub(super) async fn check_service(state: &Shared, service: &id::Service) -> Result<(), Refusal> {
    let (decode, publication) = {
        let state = state.borrow();
        let gateways = state.gateways.as_ref().ok_or_else(hub::not_ready)?;
        if gateways.tuning.rollouts.is_none() {
            let why = "rollouts are disabled: the settings have no exposure bounds for a version on trial";
            return Err(Refusal::new(Code::Unknown, why));
        }
        (gateways.decode, state.machine.get_publication().clone())
    };
    if publication.version == 0 {
        return Err(Refusal::new(Code::NoTable, "no routing table is active"));
    }
    let table = blocking::run(move || decode(&publication)).await?;
    if table.get_services().contains_key(service) {
        return Ok(());
    }
    let why = format!("the routing table has no service `{service}`");
    Err(Refusal::new(Code::UnknownService, why))
}

/// The phase of the last rollout of a service, confirmed by a majority.
pub(super) async fn read(state: &Shared, service: &id::Service) -> Result<HubReply, Refusal> {
    hub::confirm(state).await?;
    let state = state.borrow();
    let last = state.machine.get_rollouts().last_order(service);
    let last = last.map(|(order, phase)| (order.target.clone(), phase));
    Ok(HubReply::Rollout(last))
}

impl State {
    /// Applies a step that was committed in `term`; `before` are the plans before the step.
    pub(super) fn apply_rollout_step(&mut self, step: &Step, before: &Plans, term: id::Term) {
        // An order of an earlier term was applied by an earlier hub, which may have granted slots under it.
        let new_order = match step {
            Step::Ordered(order) if term == self.replica.get_term() && !before.has_order(order) => {
                Some(order)
            }
            _ => None,
        };
        self.apply_plans(new_order);
    }

    /// Updates the hub to the committed rollouts; `new_order` is one that this leader has just committed.
    pub(super) fn apply_plans(&mut self, new_order: Option<&Order>) {
        let now = self.clock.now();
        let Some(hub) = &mut self.hub else {
            return;
        };
        hub.apply_plans(
            self.machine.get_rollouts(),
            new_order,
            crate::process::unix_ms(),
            now,
        );
        self.updates.notify_waiters();
    }

    /// Proposes the next steps of the rollouts.
    pub(super) fn propose_rollout_steps(&mut self) {
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
            self.propose_repeatable(&Record::Rollout(step), "the next step of a rollout");
        }
    }
}

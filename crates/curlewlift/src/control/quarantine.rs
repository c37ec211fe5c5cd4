//! The quarantine of requests and parts of prompts under which servers crashed: proposals of the leader and their
//! application.

use std::cell::RefCell;
use std::rc::Rc;

use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::quarantine::PartCase;
use curlewlift_core::quarantine::Step;
use curlewlift_core::state::Record;

use crate::rpc::HubReply;

use super::replica::State;

type Shared = Rc<RefCell<State>>;

/// Reads the committed list.
pub(super) async fn read(state: &Shared) -> Result<HubReply, Refusal> {
    super::hub::confirm(state).await?;
    let list = state.borrow().machine.get_quarantine().clone();
    Ok(HubReply::Quarantine(Box::new(list)))
}

impl State {
    /// Updates the hub to the committed quarantine, and notes the `steps` that changed it on the timeline.
    pub(super) fn apply_quarantine_steps(&mut self, steps: &[Step]) {
        let now = self.clock.now();
        let Some(hub) = &mut self.hub else {
            return;
        };
        hub.apply_quarantine(self.machine.get_quarantine(), now);
        for step in steps {
            self.timeline.note(event(step));
        }
        self.updates.notify_waiters();
    }

    /// Proposes the next steps of the quarantine.
    pub(super) fn propose_quarantine_steps(&mut self) {
        let now = self.clock.now();
        let Some(hub) = &mut self.hub else {
            return;
        };
        let steps = hub.propose_quarantine_steps(now);
        if steps.is_empty() {
            return;
        }
        self.propose_repeatable(&Record::Quarantine(steps), "a change of the quarantine");
    }
}

/// The event of a part of prompts under which servers crashed.
fn part_event(case: &PartCase) -> Line {
    let kind = if case.is_quarantined() {
        Kind::PartQuarantined
    } else {
        Kind::PartSuspected
    };
    let crashed = case.crashed_servers.iter();
    let crashed: Vec<_> = crashed
        .map(|(server, software)| format!("{server}:{software}"))
        .collect();
    let sound = case.sound_software.iter();
    let sound: Vec<_> = sound.map(ToString::to_string).collect();
    let owner = case.owner.as_ref().map_or("-", |owner| owner.as_str());
    Line::new(kind).detail(format_args!(
        "part={} customer={owner} shared={} ended={} sound={} trials={}",
        case.part,
        case.is_shared,
        crashed.join(","),
        sound.join(","),
        case.trials
    ))
}

/// The event of a step.
fn event(step: &Step) -> Line {
    let (kind, identity, crashed_servers) = match step {
        Step::Put(case) => (
            Kind::Quarantined,
            &case.identity,
            Some(&case.crashed_servers),
        ),
        Step::Release(identity) => (Kind::Released, identity, None),
        Step::PutPart(case) => return part_event(case),
        Step::ReleasePart(part) => {
            return Line::new(Kind::PartReleased).detail(format_args!("part={part}"));
        }
    };
    let customer = identity.customer.as_ref();
    let customer = customer.map_or("-", |customer| customer.as_str());
    let names: Vec<_> = crashed_servers
        .into_iter()
        .flatten()
        .map(|name| &**name)
        .collect();
    let names = names.join(",");
    Line::new(kind).detail(format_args!(
        "customer={customer} identity={identity} ended={names}"
    ))
}

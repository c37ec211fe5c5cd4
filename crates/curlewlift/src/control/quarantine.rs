//! The quarantine of requests under which servers crashed: proposals of the leader, and their application.

use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::quarantine::Step;
use curlewlift_core::state::Record;

use super::replica::State;

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

/// The event of a step.
fn event(step: &Step) -> Line {
    let (kind, identity, crashed_servers) = match step {
        Step::Put(case) => (
            Kind::Quarantined,
            &case.identity,
            Some(&case.crashed_servers),
        ),
        Step::Release(identity) => (Kind::Released, identity, None),
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

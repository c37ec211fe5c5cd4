//! What the leader has agreed on of requests under which servers ended.

use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::quarantine::Step;
use curlewlift_core::state::Record;

use super::replica::State;

impl State {
    /// Gives the hub the requests in quarantine as they are agreed, after `steps`.
    pub(super) fn take_up_quarantine(&mut self, steps: &[Step]) {
        let now = self.clock.now();
        let Some(hub) = &mut self.hub else {
            return;
        };
        hub.apply_quarantine(self.machine.get_quarantine(), now);
        for step in steps {
            self.timeline.note(line(step));
        }
        self.news.notify_waiters();
    }

    /// Proposes what is to be agreed of them.
    pub(super) fn tend_quarantine(&mut self) {
        let now = self.clock.now();
        let Some(hub) = &mut self.hub else {
            return;
        };
        let steps = hub.propose_quarantine_steps(now);
        if steps.is_empty() {
            return;
        }
        // Steps that are lost are proposed again, by this leader or by the next one.
        if let Err(why) = self.propose(&Record::Quarantine(steps)) {
            log::warn!("the requests in quarantine stay as they are: {why}");
        }
    }
}

/// The line about a step.
fn line(step: &Step) -> Line {
    let (kind, identity, ended) = match step {
        Step::Put(case) => (
            Kind::Quarantined,
            &case.identity,
            Some(&case.crashed_servers),
        ),
        Step::Release(identity) => (Kind::Released, identity, None),
    };
    let customer = identity.customer.as_ref();
    let customer = customer.map_or("-", |customer| customer.as_str());
    let ended: Vec<_> = ended.into_iter().flatten().map(|name| &**name).collect();
    let ended = ended.join(",");
    Line::new(kind).detail(format_args!(
        "customer={customer} identity={identity} ended={ended}"
    ))
}

//! Evacuations of data halls on the leader: a committed order is applied to the hub.

use curlewlift_core::evacuation::Order;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;

use super::replica::State;

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

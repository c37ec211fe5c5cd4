//! What the leader has agreed on of the parts that gateways hold.

use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::state::Record;

use super::replica::State;

impl State {
    /// Gives the hub the parts and deputies as they stand in the log.
    pub(super) fn take_up_parts(&mut self) {
        let now = self.clock.now();
        let Some(hub) = &mut self.hub else {
            return;
        };
        let parts = self.machine.get_retry_shares();
        hub.apply_retry_shares(parts, now);
        let deputies = self.machine.get_standbys();
        hub.apply_standbys(deputies, now);
        let (held, deputies) = (parts.holders.len(), deputies.holders.len());
        let detail = format!("parts={} held={held} deputies={deputies}", parts.count);
        self.timeline
            .note(Line::new(Kind::PartsHeld).detail(detail));
        self.news.notify_waiters();
    }

    /// Proposes the parts and deputies as they are to be.
    pub(super) fn tend_parts(&mut self) {
        let now = self.clock.now();
        let Some(hub) = &mut self.hub else {
            return;
        };
        let parts = hub.propose_retry_shares(now).map(Record::RetryShares);
        let deputies = hub.propose_standbys(now).map(Record::Standbys);
        for record in parts.into_iter().chain(deputies) {
            // A change that is lost goes with this leader, and with it the hub that waits for it.
            if let Err(why) = self.propose(&record) {
                log::warn!("the parts stay as they are: {why}");
            }
        }
    }
}

//! What gateways and hubs hold of the retry budget, and the standbys: proposals of the leader, and their application.

use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::state::Record;

use super::replica::State;

impl State {
    /// Updates the hub to the committed shares and standbys.
    pub(super) fn apply_shares(&mut self) {
        let now = self.clock.now();
        let Some(hub) = &mut self.hub else {
            return;
        };
        let shares = self.machine.get_retry_shares();
        hub.apply_retry_shares(shares, now);
        let standbys = self.machine.get_standbys();
        hub.apply_standbys(standbys, now);
        let (held, standbys) = (shares.holders.len(), standbys.holders.len());
        let detail = format!("parts={} held={held} deputies={standbys}", shares.count);
        self.timeline
            .note(Line::new(Kind::PartsHeld).detail(detail));
        self.updates.notify_waiters();
    }

    /// Updates the hub to the committed blocks of retries.
    pub(super) fn apply_retry_blocks(&mut self) {
        if let Some(hub) = &mut self.hub {
            hub.apply_retry_blocks(self.machine.get_retry_blocks());
        }
    }

    /// Proposes changes to the shares, the standbys and the blocks of retries.
    pub(super) fn propose_shares(&mut self) {
        let now = self.clock.now();
        let Some(hub) = &mut self.hub else {
            return;
        };
        let shares = hub.propose_retry_shares(now).map(Record::RetryShares);
        let standbys = hub.propose_standbys(now).map(Record::Standbys);
        let blocks = hub.propose_retry_blocks(now).map(Record::RetryBlocks);
        for record in shares.into_iter().chain(standbys).chain(blocks) {
            // A proposal is lost only with this leader, and then the hub that waits for it is gone too.
            self.propose_repeatable(&record, "new retry shares, retry blocks or standbys");
        }
    }
}

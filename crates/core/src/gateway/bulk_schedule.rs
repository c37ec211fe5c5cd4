//! When gateways receive large updates.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id::Host;

/// Time between two gateways that receive a large update. It leaves a small leader time for
/// heartbeats and slot grants.
const BULK_UPDATE_INTERVAL: Duration = Duration::from_millis(1);

/// Time after which an unused time slot is dropped, as its gateway has gone.
const UNUSED_TIME_SLOT_TIMEOUT: Duration = Duration::from_secs(5);

/// Schedules large updates to gateways: a server list or a membership that they do not have yet.
///
/// Load pattern: after a change of the leader or of a table, all gateways want the update at the
/// same moment. A thousand replies at once keep a leader from its heartbeats for longer than an
/// election takes, and the next leader meets the same burst. Gateways therefore receive the update
/// one by one in the order in which they asked. Small updates are never delayed.
#[derive(Clone, Debug, Default)]
pub struct BulkSchedule {
    next: Instant,
    time_slots: HashMap<Host, Instant>,
}

impl BulkSchedule {
    /// Returns the time slot of `host`, which asks for a large update at `now`.
    pub fn reserve(&mut self, host: &Host, now: Instant) -> Instant {
        let time_slot = self.time_slots.get(host).copied();
        if let Some(time_slot) =
            time_slot.filter(|time_slot| now.since(*time_slot) < UNUSED_TIME_SLOT_TIMEOUT)
        {
            return time_slot;
        }
        let time_slot = self.next.max(now);
        self.next = time_slot + BULK_UPDATE_INTERVAL;
        self.time_slots.insert(host.clone(), time_slot);
        time_slot
    }

    /// Removes the time slot of `host`, which has received its update.
    pub fn finish(&mut self, host: &Host) {
        self.time_slots.remove(host);
    }
}

//! When gateways are told what is large.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id::Host;

/// Between two gateways that are told what is large: a small leader has time for heartbeats and places in between.
const EACH: Duration = Duration::from_millis(1);

/// After how long a turn that was not used is given up: the gateway has gone.
const UNUSED: Duration = Duration::from_secs(5);

/// When gateways are told what is large: a list, a roll or a table that they do not hold.
///
/// Load pattern: all gateways want it at the same moment, after a change of the leader or of a table. A thousand answers
/// at once keep a leader from its heartbeats for longer than an election takes, and the next leader meets the same crowd.
/// So gateways take turns in the order in which they asked; what is small is never held up.
#[derive(Clone, Debug, Default)]
pub struct BulkSchedule {
    next: Instant,
    turns: HashMap<Host, Instant>,
}

impl BulkSchedule {
    /// When it is the turn of `host`, which wants to be told at `now`.
    pub fn reserve(&mut self, host: &Host, now: Instant) -> Instant {
        let turn = self.turns.get(host).copied();
        if let Some(turn) = turn.filter(|turn| now.since(*turn) < UNUSED) {
            return turn;
        }
        let turn = self.next.max(now);
        self.next = turn + EACH;
        self.turns.insert(host.clone(), turn);
        turn
    }

    /// `host` is told.
    pub fn finish(&mut self, host: &Host) {
        self.turns.remove(host);
    }
}

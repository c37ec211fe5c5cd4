//! A pool whose gateway or hub may use a part of the slots only.

use super::Part;
use super::Pool;
use super::server_state::ServerState;

impl Pool {
    /// Whether `part` of scheduling under hard load is in use.
    #[must_use]
    pub fn uses(&self, part: Part) -> bool {
        self.tuning.scheduling.has(part)
    }

    /// The slots of all servers that accept work.
    #[must_use]
    pub fn total_slots(&self) -> u32 {
        let accepting = self.servers.all().filter(|state| state.accepts_work());
        accepting.map(|state| state.server.slots.max(1)).sum()
    }

    /// How many more requests fit at all servers together, if requests beyond the room of one server use up the room of
    /// others.
    #[must_use]
    pub fn room(&self) -> u32 {
        let extra = self.tuning.extra_in_flight;
        let accepting = self.servers.all().filter(|state| state.accepts_work());
        let (limit, in_flight) = accepting.fold((0, 0), |(limit, in_flight), state| {
            let slots = state.server.slots.max(1);
            let limit = limit + state.limit.get(slots + extra);
            (limit, in_flight + state.in_flight())
        });
        limit.saturating_sub(in_flight)
    }

    /// The requests in flight that were sent from here.
    #[must_use]
    pub fn own_requests(&self) -> u32 {
        self.servers.all().map(|state| state.own_requests).sum()
    }

    /// Limits how many more requests are assigned until the next call; `None` for no limit.
    pub fn limit_assignments(&mut self, max: Option<u32>) {
        self.assignments_left = max;
    }

    /// Leaves room for one request at each server that is full by what was last heard of other gateways, as that gets out
    /// of date; responses state the actual load. Does nothing, and returns false, until others' loads are known again.
    pub fn discount_other_loads(&mut self) -> bool {
        if std::mem::replace(&mut self.discounts_others, true) {
            return false;
        }
        let extra = self.tuning.extra_in_flight;
        self.servers.update_all(|state: &mut ServerState| {
            let limit = state.limit.get(state.server.slots.max(1) + extra).max(1);
            state.other_requests = state.other_requests.min(limit - 1);
        });
        true
    }
}

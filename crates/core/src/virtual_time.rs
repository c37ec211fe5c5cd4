//! The virtual time of start-time fair queueing.

/// The virtual time of a group of customers that share a resource: the highest start at which one of them was served.
///
/// The customer with the lowest start is served next, and its start rises by the cost of what it gets. While two
/// customers both have requests queued, the costs charged to them differ by at most the cost of one request of each.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct VirtualTime {
    now: u64,
}

impl VirtualTime {
    /// The start of a customer that had nothing queued and whose last start was `last`. It can't save up service while
    /// idle.
    pub(crate) fn resume(self, last: u64) -> u64 {
        last.max(self.now)
    }

    /// Serves a request with the given start and cost; returns the next start of its customer.
    pub(crate) fn serve(&mut self, start: u64, cost: u64) -> u64 {
        self.now = self.now.max(start);
        start.saturating_add(cost)
    }

    /// Whether a customer with the given start has got more than one that starts now.
    pub(crate) fn is_ahead(self, start: u64) -> bool {
        start > self.now
    }
}

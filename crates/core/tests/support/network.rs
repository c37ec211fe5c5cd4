//! Messages on their way.

use std::collections::BTreeMap;

/// Messages, in the order in which they arrive; those that arrive at the same time, in the order in which they were sent.
pub(crate) struct Network<T> {
    messages: BTreeMap<(u64, u64), T>,
    sequence: u64,
}

impl<T> Network<T> {
    pub(crate) fn new() -> Self {
        Self {
            messages: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Sends a message that arrives at `arrival`.
    pub(crate) fn send(&mut self, arrival: u64, message: T) {
        self.sequence += 1;
        self.messages.insert((arrival, self.sequence), message);
    }

    /// Removes and returns the next message that has arrived by `now`.
    pub(crate) fn receive(&mut self, now: u64) -> Option<T> {
        let first = self.messages.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }
}

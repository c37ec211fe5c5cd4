//! The slots that this gateway has lent to others.

use std::collections::HashMap;

use tokio::sync::oneshot;

/// The slots that this gateway has lent to others, and what it has started without the hub.
#[derive(Default)]
pub(super) struct Loans {
    /// Channels that end the loans.
    ends: HashMap<u64, oneshot::Sender<()>>,
    last_number: u64,
    /// Requests that were started by shares since the hub last replied.
    pub(super) started: u64,
}

impl Loans {
    /// Adds a loan. Returns its number, and the channel that announces its end.
    pub(super) fn add(&mut self) -> (u64, oneshot::Receiver<()>) {
        let (sender, receiver) = oneshot::channel();
        self.last_number += 1;
        self.ends.insert(self.last_number, sender);
        (self.last_number, receiver)
    }

    /// Ends a loan: the borrower has returned the slot, or its request must have ended.
    pub(super) fn end(&mut self, number: u64) {
        // Dropping the sender ends it.
        self.ends.remove(&number);
    }
}

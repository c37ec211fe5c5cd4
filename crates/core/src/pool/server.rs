//! What a gateway knows of one backend server.

use std::sync::Arc;

use crate::gateway::Server;

use super::Pace;
use super::Trust;

/// One backend server of a pool.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) server: Arc<Server>,
    /// Sent from here and not ended.
    pub(super) own: u32,
    /// What other gateways have in flight there, by the last word.
    pub(super) others: u32,
    pub(super) first: Pace,
    pub(super) gap: Pace,
    pub(super) trust: Trust,
}

impl Known {
    pub(super) fn new(server: Arc<Server>) -> Self {
        Self {
            server,
            own: 0,
            others: 0,
            first: Pace::default(),
            gap: Pace::default(),
            trust: Trust::default(),
        }
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.own + self.others
    }
}

//! State of one service at a gateway.

use std::collections::HashMap;

use curlewlift_core::pool;
use curlewlift_core::pool::Assignment;
use curlewlift_core::pool::Pool;
use curlewlift_core::pool::RetryBudget;
use curlewlift_core::pool::Ticket;
use rand::Rng;
use tokio::sync::oneshot;

/// A service's server pool and retry budget, and the requests that wait for a slot.
pub(super) struct Service {
    /// The backend servers, and the requests queued for them.
    pub(super) pool: Pool,
    /// What is left for retries.
    pub(super) budget: RetryBudget,
    /// Channels on which queued requests receive their assignments.
    pub(super) waiters: HashMap<Ticket, oneshot::Sender<Assignment>>,
}

impl Service {
    /// Creates a service without servers; `budget` bounds its retries.
    pub(super) fn new(budget: RetryBudget) -> Self {
        let seed = rand::rng().next_u64();
        Self {
            pool: Pool::new(pool::Tuning::default(), seed),
            budget,
            waiters: HashMap::new(),
        }
    }
}

//! One service of a gateway.

use std::collections::HashMap;

use curlewlift_core::pool;
use curlewlift_core::pool::Assignment;
use curlewlift_core::pool::Pool;
use curlewlift_core::pool::RetryAllowance;
use curlewlift_core::pool::RetryBudget;
use curlewlift_core::pool::Ticket;
use rand::Rng;
use tokio::sync::oneshot;

/// A service's pool and budget, and who waits for a turn.
pub(super) struct Service {
    /// Its backend servers, and the requests in line for them.
    pub(super) pool: Pool,
    /// What is left for sendings past the first.
    pub(super) budget: RetryBudget,
    /// How each request in line is told of its turn.
    pub(super) waiters: HashMap<Ticket, oneshot::Sender<Assignment>>,
}

impl Service {
    /// A service without servers yet, with so many sendings past the first.
    pub(super) fn new(retry_allowance: RetryAllowance) -> Self {
        let seed = rand::rng().next_u64();
        Self {
            pool: Pool::new(pool::Tuning::default(), seed),
            budget: RetryBudget::new(retry_allowance),
            waiters: HashMap::new(),
        }
    }
}

//! The retry budget of a service, shared by all entries.

use std::collections::BTreeMap;

/// The credit that a first attempt earns, in hundredths of a retry.
const CREDIT_PER_FIRST_ATTEMPT: u32 = 10;

/// The cost of a retry, in hundredths of a retry.
const COST_PER_RETRY: u32 = 100;

/// The maximum credit of a tier, in hundredths of a retry: ten retries.
const MAX_CREDIT: u32 = 10 * COST_PER_RETRY;

/// The maximum number of retries of one request.
const MAX_RETRIES_PER_REQUEST: u8 = 3;

/// The retry credit of each tier: ten first attempts earn one retry, and at most ten retries are
/// saved up. A tier starts with that maximum.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryBudget {
    credit: BTreeMap<u8, u32>,
}

impl RetryBudget {
    /// Charges an attempt of a request of the tier `rank`, and returns whether it may be made.
    ///
    /// `attempt` is 0 for a first attempt, which is always allowed and earns credit, and `n` for
    /// the `n`-th retry.
    pub(super) fn try_acquire(&mut self, rank: u8, attempt: u8) -> bool {
        let credit = self.credit.entry(rank).or_insert(MAX_CREDIT);
        if attempt == 0 {
            *credit = (*credit + CREDIT_PER_FIRST_ATTEMPT).min(MAX_CREDIT);
            return true;
        }
        if attempt > MAX_RETRIES_PER_REQUEST || *credit < COST_PER_RETRY {
            return false;
        }
        *credit -= COST_PER_RETRY;
        true
    }
}

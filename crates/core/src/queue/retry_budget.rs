//! The budget of further tries, over all entries.

use std::collections::BTreeMap;

/// Tries that one first try earns, in hundredths.
const EARNED: u32 = 10;

/// What one further try costs, in hundredths.
const COST: u32 = 100;

/// The most that is saved up, in hundredths: ten tries.
const MOST: u32 = 10 * COST;

/// How often one request may be tried again.
const TRIES: u8 = 3;

/// Further tries that each tier has left: one for ten first tries, ten at the most.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryBudget {
    left: BTreeMap<u8, u32>,
}

impl RetryBudget {
    /// Whether a request of the tier `rank` may be tried for the `attempt`-th further time.
    pub(super) fn take(&mut self, rank: u8, attempt: u8) -> bool {
        let left = self.left.entry(rank).or_insert(MOST);
        if attempt == 0 {
            *left = (*left + EARNED).min(MOST);
            return true;
        }
        if attempt > TRIES || *left < COST {
            return false;
        }
        *left -= COST;
        true
    }
}

//! What came of it.

use super::load::CUSTOMERS;
use super::load::Request;

/// Tiers.
pub(super) const TIERS: usize = 4;

/// What came of one run.
#[derive(Clone, Debug, Default)]
pub struct Score {
    /// Requests offered, by tier.
    pub offered: [u32; TIERS],
    /// Whole answers in time, by tier.
    pub good: [u32; TIERS],
    /// Requests refused before they were sent, by tier.
    pub refused: [u32; TIERS],
    /// Tokens of good answers and their prompts.
    pub tokens: f64,
    /// Prompt tokens computed.
    pub prefill: f64,
    /// Prompt tokens computed for answers that were not good.
    pub wasted: f64,
    /// Offered requests of the second tier, by customer.
    pub asked: [u32; CUSTOMERS],
    /// Good answers of them.
    pub served: [u32; CUSTOMERS],
    /// Times to the first token in the highest tier, in seconds.
    pub first: Vec<f64>,
    /// Times between tokens in the highest tier, in seconds.
    pub between: Vec<f64>,
    /// Refusals of a higher tier, for want of room, while a lower one waited.
    pub inversions: u32,
}

impl Score {
    pub(super) fn count_offered(&mut self, request: &Request) {
        if request.rank == 1 {
            self.asked[request.customer] += 1;
        }
    }

    pub(super) fn count_good(&mut self, request: &Request) {
        if request.rank == 1 {
            self.served[request.customer] += 1;
        }
    }

    /// The least part of its second-tier requests that a customer but the first gets answered.
    #[must_use]
    pub fn others(&self) -> f64 {
        let parts = (1..CUSTOMERS).map(|customer| {
            f64::from(self.served[customer]) / f64::from(self.asked[customer].max(1))
        });
        parts.fold(1.0, f64::min)
    }

    /// Whole answers in time over what was offered.
    #[must_use]
    pub fn goodput(&self, tier: usize) -> f64 {
        f64::from(self.good[tier]) / f64::from(self.offered[tier].max(1))
    }

    /// The same over all tiers.
    #[must_use]
    pub fn total(&self) -> f64 {
        let good: u32 = self.good.iter().sum();
        let offered: u32 = self.offered.iter().sum();
        f64::from(good) / f64::from(offered.max(1))
    }

    /// Wasted over computed prompt tokens.
    #[must_use]
    pub fn waste(&self) -> f64 {
        self.wasted / self.prefill.max(1.0)
    }

    /// The value below which `part` of `times` are.
    #[must_use]
    pub fn quantile(times: &[f64], part: f64) -> f64 {
        let mut sorted = times.to_vec();
        sorted.sort_by(f64::total_cmp);
        let place = (sorted.len() as f64 * part) as usize;
        sorted
            .get(place.min(sorted.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0.0)
    }
}

//! The results of a run.

use super::load::CUSTOMERS;
use super::load::Request;

/// The number of tiers.
pub(super) const TIERS: usize = 4;

/// The results of one run.
#[derive(Clone, Debug, Default)]
pub struct Score {
    /// Requests offered, by tier.
    pub offered: [u32; TIERS],
    /// Complete responses in time, by tier.
    pub good: [u32; TIERS],
    /// Requests refused before they were sent to an engine, by tier.
    pub refused: [u32; TIERS],
    /// Tokens of good responses and their prompts.
    pub tokens: f64,
    /// Prompt tokens computed.
    pub prefill: f64,
    /// Prompt tokens computed for responses that were not good.
    pub wasted: f64,
    /// Offered requests of the second tier, by customer.
    pub offered_by_customer: [u32; CUSTOMERS],
    /// Good responses to them.
    pub good_by_customer: [u32; CUSTOMERS],
    /// Times to the first token in the highest tier, in seconds.
    pub first_token_seconds: Vec<f64>,
    /// Times between tokens in the highest tier, in seconds.
    pub token_gap_seconds: Vec<f64>,
    /// Requests shed while a request of a lower tier was queued.
    pub inversions: u32,
}

impl Score {
    pub(super) fn count_offered(&mut self, request: &Request) {
        if request.rank == 1 {
            self.offered_by_customer[request.customer] += 1;
        }
    }

    pub(super) fn count_good(&mut self, request: &Request) {
        if request.rank == 1 {
            self.good_by_customer[request.customer] += 1;
        }
    }

    /// The minimum share of second-tier requests with a good response, over all customers but the first.
    #[must_use]
    pub fn min_served_share(&self) -> f64 {
        let shares = (1..CUSTOMERS).map(|customer| {
            f64::from(self.good_by_customer[customer])
                / f64::from(self.offered_by_customer[customer].max(1))
        });
        shares.fold(1.0, f64::min)
    }

    /// The share of offered requests with a complete response in time.
    #[must_use]
    pub fn goodput(&self, tier: usize) -> f64 {
        f64::from(self.good[tier]) / f64::from(self.offered[tier].max(1))
    }

    /// The goodput over all tiers.
    #[must_use]
    pub fn total_goodput(&self) -> f64 {
        let good: u32 = self.good.iter().sum();
        let offered: u32 = self.offered.iter().sum();
        f64::from(good) / f64::from(offered.max(1))
    }

    /// The share of computed prompt tokens that were wasted.
    #[must_use]
    pub fn wasted_share(&self) -> f64 {
        self.wasted / self.prefill.max(1.0)
    }

    /// Returns the value below which the given fraction of `times` lies.
    #[must_use]
    pub fn quantile(times: &[f64], fraction: f64) -> f64 {
        let mut sorted = times.to_vec();
        sorted.sort_by(f64::total_cmp);
        let index = (sorted.len() as f64 * fraction) as usize;
        sorted
            .get(index.min(sorted.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0.0)
    }
}

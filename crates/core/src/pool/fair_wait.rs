//! Predicts how long queued requests wait if customers of the same rank are served by their shares.

use std::time::Duration;

use crate::clock::Instant;
use crate::route::Rank;

use super::fair_order::Order;
use super::fair_order::Share;
use super::fair_queue::Accounts;
use super::forecast::Rates;
use super::forecast::seconds_for;
use super::forecast::to_duration;
use super::queue::Position;

/// What is expected of the requests that will arrive in a rank while others wait there.
#[derive(Clone, Copy, Debug)]
struct Competition {
    rank: Rank,
    /// How many requests per second arrive of customers all of whose queued requests go before.
    arrivals: f64,
    /// The slot time, in microseconds, that a request is expected to hold.
    mean_cost: f64,
    /// How many requests of mean cost per second a customer with queued requests gets at least.
    min_rate: f64,
}

/// Predicts the waits of requests that are passed in the order of service.
#[derive(Clone, Debug)]
pub(super) struct FairWait<'a> {
    accounts: &'a Accounts,
    rates: &'a Rates,
    competition: Option<Competition>,
    now: Instant,
}

impl<'a> FairWait<'a> {
    pub(super) fn new(accounts: &'a Accounts, rates: &'a Rates, now: Instant) -> Self {
        Self {
            accounts,
            rates,
            competition: None,
            now,
        }
    }

    /// How long the request that `order` has passed last is likely to wait, with `ahead` others before it. `None` if the
    /// rate of assignments is not known.
    ///
    /// New requests of customers that use less than their share go before it. Its customer gets its share all the same.
    pub(super) fn predict(
        &mut self,
        order: &Order<impl Copy>,
        position: &Position,
        ahead: usize,
    ) -> Option<Duration> {
        let available = self.rates.available(position)?;
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        let in_order = seconds_for(ahead + 1.0, available);
        let share = order.last_share();
        let share = share.filter(|_| self.accounts.is_enabled() && !position.late);
        let Some(share) = share else {
            return Some(to_duration(in_order));
        };
        let rank = position.rank;
        let competition = self.competition.filter(|former| former.rank == rank);
        let competition =
            competition.unwrap_or_else(|| self.competition_in(rank, order, available));
        let relative_cost = to_f64(share.cost) / competition.mean_cost;
        let min_rate = competition.min_rate / relative_cost;
        let after_arrivals = seconds_for(ahead + 1.0, available - competition.arrivals);
        let by_share = seconds_for(f64::from(share.served) + 1.0, min_rate);
        self.competition = Some(self.after(competition, share));
        Some(to_duration(in_order.max(after_arrivals.min(by_share))))
    }

    /// The competition for the first request of a rank.
    fn competition_in(&self, rank: Rank, order: &Order<impl Copy>, available: f64) -> Competition {
        let queued = order.shares_in(rank);
        let (customers, arrivals) = queued.fold((0.0, 0.0), |(customers, arrivals), share| {
            let own = self.accounts.arrivals(share.account, self.now);
            (customers + 1.0, arrivals + own)
        });
        // Arrivals of customers without queued requests.
        let arrivals = (self.rates.arrivals_of(|other| other == rank) - arrivals).max(0.0);
        let equal_rate = available / f64::from(self.accounts.customers(rank).max(1));
        Competition {
            rank,
            arrivals,
            mean_cost: to_f64(self.accounts.mean_cost(rank)),
            min_rate: equal_rate.max((available - arrivals) / customers),
        }
    }

    /// The competition for requests after one of `share`: if that was its last one, those that its customer will send go
    /// before.
    fn after(&self, competition: Competition, share: &Share) -> Competition {
        if share.on_time > 0 {
            return competition;
        }
        let own = self.accounts.arrivals(share.account, self.now);
        Competition {
            arrivals: competition.arrivals + own,
            ..competition
        }
    }
}

#[allow(
    clippy::cast_precision_loss,
    reason = "microseconds of slot time of one request"
)]
fn to_f64(micros: u64) -> f64 {
    micros as f64
}

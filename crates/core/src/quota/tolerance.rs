//! By how much a quota may be exceeded.

use std::time::Duration;

use crate::route::Quota;

use super::to_f64;

/// The share of the tolerance that the hub adds to the quotas, evenly over time.
const HUB_TOLERANCE_SHARE: f64 = 0.65;

/// The share of the tolerance that gateways hold for the time in which the hub does not answer. The remainder covers
/// requests that are admitted at one moment and run at a later one.
const LOCAL_TOLERANCE_SHARE: f64 = 0.25;

/// The share of the gateways' part that they may admit at once: when a leader crashes, they are without a hub for
/// about 1 s.
const LOCAL_BURST_SHARE: f64 = 0.75;

/// By how much a quota may be exceeded in any window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// The length of the window.
    pub window: Duration,
    /// The tolerated excess as a fraction of what the quota allows in a window.
    pub ratio: f64,
    /// The tolerated excess in addition to that, in the quota's unit.
    pub slack: f64,
}

impl Tolerance {
    /// Returns the rate at which a customer's bucket fills at the hub.
    ///
    /// It is higher than the quota's rate, so that the hub's share of a window's tolerance is used evenly. The bucket
    /// holds the quota's burst, no more.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use curlewlift_core::quota::Tolerance;
    /// use curlewlift_core::route::Quota;
    /// use curlewlift_core::route::Unit;
    /// let quota = Quota { unit: Unit::Requests, rate: 10.0, burst: 20.0 };
    /// let tolerance = Tolerance { window: Duration::from_secs(8), ratio: 0.1, slack: 0.0 };
    /// assert!((tolerance.fill_rate(&quota) - 10.8125).abs() < 1e-9);
    /// assert!((Tolerance::default().fill_rate(&quota) - 10.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn fill_rate(&self, quota: &Quota) -> f64 {
        let window = self.window.as_secs_f64();
        if window <= 0.0 {
            return quota.rate;
        }
        quota.rate + self.tolerated_excess(quota) * HUB_TOLERANCE_SHARE / window
    }

    /// Returns the rate and the burst that all gateways together have for the time in which the hub does not answer.
    #[must_use]
    pub fn local_reserve(&self, quota: &Quota) -> (f64, f64) {
        let window = self.window.as_secs_f64();
        if window <= 0.0 {
            return (0.0, 0.0);
        }
        let reserve = self.tolerated_excess(quota) * LOCAL_TOLERANCE_SHARE;
        (
            reserve * (1.0 - LOCAL_BURST_SHARE) / window,
            reserve * LOCAL_BURST_SHARE,
        )
    }

    /// Returns the most that a customer may use in a window, whatever it used before; `None` if windows have no length.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use curlewlift_core::quota::Tolerance;
    /// use curlewlift_core::route::Quota;
    /// use curlewlift_core::route::Unit;
    /// let quota = Quota { unit: Unit::Requests, rate: 10.0, burst: 20.0 };
    /// let tolerance = Tolerance { window: Duration::from_secs(8), ratio: 0.5, slack: 3.0 };
    /// assert_eq!(tolerance.max_in_window(&quota), Some(153.0));
    /// assert_eq!(Tolerance::default().max_in_window(&quota), None);
    /// ```
    #[must_use]
    pub fn max_in_window(&self, quota: &Quota) -> Option<f64> {
        let has_window = !self.window.is_zero();
        has_window.then(|| self.window_quota(quota) + self.tolerated_excess(quota))
    }

    /// Returns whether a request that costs `cost` can ever be admitted.
    #[must_use]
    pub fn allows_cost(&self, quota: &Quota, cost: u64) -> bool {
        let max = self.max_in_window(quota);
        max.is_none_or(|max| to_f64(cost) <= max)
    }

    /// What the quota itself allows in a window.
    fn window_quota(&self, quota: &Quota) -> f64 {
        quota.rate * self.window.as_secs_f64() + quota.burst
    }

    fn tolerated_excess(&self, quota: &Quota) -> f64 {
        self.ratio * self.window_quota(quota) + self.slack
    }
}

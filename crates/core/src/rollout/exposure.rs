//! How many requests a version on trial may get.
//!
//! Load pattern: all gateways ask at once, hubs follow one another, and each knows only what it was told
//! itself. A bound that is worked out from what others are thought to do is broken by the first that is not
//! heard; so nothing is estimated here.

/// The part of the bound that is used: the rest is for answers that broke off and are counted otherwise by
/// whoever holds us to the bound.
const USED: f64 = 0.95;

/// The part of what is borne on top that is used, once, by the hub under which the order was taken.
const USED_ON_TOP: f64 = 0.9;

/// The requests that a version on trial may get, over all gateways.
///
/// It is earned by requests that are known to have reached the service's other versions, and spent when a
/// place is given. A request is told of to one hub only, and each hub spends what it has earned itself: so the
/// sum over all hubs stays within the bound, in every prefix of time, also of two that both think that they
/// lead. What is told and lost earns nothing; a place that is given and not used is spent.
///
/// # Examples
///
/// ```
/// use curlewlift_core::rollout::Exposure;
/// let mut exposure = Exposure::new(0.1, 0.0);
/// assert!(!exposure.try_spend());
/// for _ in 0..13 {
///     exposure.earn();
/// }
/// assert!(exposure.try_spend(), "13 x 0.1 x 0.95 are more than one");
/// assert!(!exposure.try_spend());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Exposure {
    /// What one request that reached another version earns.
    rate: f64,
    credit: f64,
}

impl Exposure {
    /// A version on trial may get `share` (0 to 1) of all requests, and `extra_requests` of that; the latter is 0 for
    /// a hub under which the order was not taken.
    #[must_use]
    pub fn new(share: f64, extra_requests: f64) -> Self {
        Self {
            rate: share * USED,
            credit: extra_requests * USED_ON_TOP,
        }
    }

    /// A request has reached another version.
    pub fn earn(&mut self) {
        self.credit += self.rate;
    }

    /// Takes one request's part; false where there is none left.
    pub fn try_spend(&mut self) -> bool {
        let has = self.credit >= 1.0;
        if has {
            self.credit -= 1.0;
        }
        has
    }

    /// How many requests may be spent now.
    #[must_use]
    pub fn available(&self) -> u32 {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let whole = self.credit as u32;
        whole
    }
}

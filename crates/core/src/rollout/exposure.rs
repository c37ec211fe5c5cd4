//! Limits how many requests a version on trial receives.
//!
//! Load pattern: all gateways request slots at the same time, hubs replace one another, and each
//! hub knows only the requests that were reported to it. A limit that is computed from an estimate
//! of what other hubs do is exceeded as soon as one of them can't be reached. So nothing is
//! estimated here.

/// The fraction of the share that is used. The rest allows for responses that broke off, which
/// whoever checks the limit may count differently.
const USED_FRACTION_OF_SHARE: f64 = 0.95;

/// The fraction of the extra requests that is used, once, by the hub under which the order was
/// accepted.
const USED_FRACTION_OF_EXTRA: f64 = 0.9;

/// The credit for requests to a version on trial, over all gateways.
///
/// Credit is earned by requests that are known to have reached the service's other versions, and
/// spent when a slot is granted. A request is reported to one hub only, and each hub spends only
/// the credit that it earned itself. So the sum over all hubs stays within the limit at every
/// moment, even while two hubs both believe that they lead. A report that is lost earns nothing; a
/// granted slot that isn't used stays spent.
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
/// assert!(exposure.try_spend(), "13 x 0.1 x 0.95 is more than 1");
/// assert!(!exposure.try_spend());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Exposure {
    /// The credit earned by each request that reached another version.
    rate: f64,
    /// The number of requests that may be spent.
    credit: f64,
}

impl Exposure {
    /// Allows a version on trial `share` (0 to 1) of all requests, and `extra_requests` in
    /// addition.
    ///
    /// The latter must be 0 for a hub under which the order was not accepted, so that only one hub
    /// spends them.
    #[must_use]
    pub fn new(share: f64, extra_requests: f64) -> Self {
        Self {
            rate: share * USED_FRACTION_OF_SHARE,
            credit: extra_requests * USED_FRACTION_OF_EXTRA,
        }
    }

    /// Earns credit for a request that reached another version.
    pub fn earn(&mut self) {
        self.credit += self.rate;
    }

    /// Spends the credit for one request; returns false if there isn't enough.
    pub fn try_spend(&mut self) -> bool {
        let is_enough = self.credit >= 1.0;
        if is_enough {
            self.credit -= 1.0;
        }
        is_enough
    }

    /// The number of requests that may be spent now.
    #[must_use]
    pub fn available(&self) -> u32 {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let whole = self.credit as u32;
        whole
    }
}

//! What a gateway does while it hears no hub, so that many of them leave room for a new one.

use std::time::Duration;

/// After a control replica that does not lead or does not answer, for the first time.
const FIRST: Duration = Duration::from_millis(60);

/// By what factor the pause grows with each further one.
const GROWTH: f64 = 1.5;

/// Misses after which it grows no more.
const MANY: u32 = 8;

/// Up to what it grows, for each gateway that lives.
const EACH: Duration = Duration::from_micros(500);

/// Up to what it grows at the most, and where nothing is known of the others.
const MOST: Duration = Duration::from_millis(500);

/// By what part of it pauses differ: not all ask at the same moment.
const SPREAD: f64 = 0.25;

/// The part of the calls that the platform takes which all gateways make that hear no hub; those beside a replica have
/// the rest.
const SHARED: f64 = 0.5;

/// How long a gateway waits before it seeks the leader at the next replica.
///
/// Load pattern: no leader, and a thousand gateways that go round all replicas, which have to elect one meanwhile. Asked
/// without a pause that grows, they hear each other too late, and no leader stays.
///
/// # Examples
///
/// ```
/// use curlewlift_core::gateway::LeaderSearch;
/// let mut search = LeaderSearch::default();
/// search.missed();
/// let first = search.pause(1_000, 0.5);
/// for _ in 0..10 {
///     search.missed();
/// }
/// assert!(search.pause(1_000, 0.5) > first * 5);
/// assert_eq!(search.pause(12, 0.5), first, "a few do no harm");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaderSearch {
    missed: u32,
}

impl LeaderSearch {
    /// The leader was found.
    pub fn found(&mut self) {
        self.missed = 0;
    }

    /// A replica was asked in vain.
    pub fn missed(&mut self) {
        self.missed = self.missed.saturating_add(1);
    }

    /// The pause after the last miss, with so many `gateways` on the roll (0 where it is not known) and a `lot` of 0 to
    /// 1.
    #[must_use]
    pub fn pause(self, gateways: usize, lot: f64) -> Duration {
        let most = match u32::try_from(gateways) {
            Ok(0) | Err(_) => MOST,
            Ok(gateways) => (EACH * gateways).clamp(FIRST, MOST),
        };
        let steps = self.missed.clamp(1, MANY) - 1;
        let grown = FIRST.mul_f64(GROWTH.powf(f64::from(steps)));
        grown.min(most).mul_f64(1.0 + SPREAD * (2.0 * lot - 1.0))
    }
}

/// Between two calls of one of `gateways` that hear no hub, of a platform that takes `rate` calls a second; none where
/// that is not known.
///
/// Load pattern: hundreds of gateways lose the hub at the same moment, and each wants a list of 60 pages.
#[must_use]
pub fn call_interval(gateways: usize, rate: f64) -> Duration {
    let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
    let call_interval = f64::from(gateways) / (rate * SHARED);
    Duration::try_from_secs_f64(call_interval).unwrap_or(Duration::ZERO)
}

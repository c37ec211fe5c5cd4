//! How a gateway without a hub searches for the leader, and how it limits its own calls meanwhile,
//! so that many such gateways leave the replicas room to elect one.

use std::time::Duration;

/// Pause after the first control replica that is not the leader or does not respond.
const INITIAL_PAUSE: Duration = Duration::from_millis(60);

/// Factor by which the pause grows after each further miss.
const PAUSE_GROWTH: f64 = 1.5;

/// Number of misses after which the pause stops growing.
const MAX_GROWTH_MISSES: u32 = 8;

/// Upper bound of the pause for each live gateway.
const MAX_PAUSE_PER_GATEWAY: Duration = Duration::from_micros(500);

/// Upper bound of the pause for any number of gateways, also used when the number is unknown.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Fraction by which pauses vary at random, so that gateways do not call at the same moment.
const PAUSE_JITTER: f64 = 0.25;

/// Fraction of the platform's call rate that all gateways without a hub share. The gateways beside
/// a control replica use the rest.
const SHARED_RATE_FRACTION: f64 = 0.5;

/// Paces a gateway's search for the leader among the control replicas.
///
/// Load pattern: there is no leader, and a thousand gateways call all replicas in turn while these
/// try to elect one. If the pause between calls did not grow, the replicas would receive each
/// other's messages too late and no leader would last.
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
/// assert_eq!(search.pause(12, 0.5), first, "few gateways do not delay an election");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaderSearch {
    missed: u32,
}

impl LeaderSearch {
    /// Resets the pause: the leader was found.
    pub fn found(&mut self) {
        self.missed = 0;
    }

    /// Records that a replica was not the leader or did not respond.
    pub fn missed(&mut self) {
        self.missed = self.missed.saturating_add(1);
    }

    /// Returns the pause after the last miss.
    ///
    /// `gateways` is the size of the membership (0 if unknown), and `random` a number from 0 to 1.
    #[must_use]
    pub fn pause(self, gateways: usize, random: f64) -> Duration {
        let max_pause = match u32::try_from(gateways) {
            Ok(0) | Err(_) => MAX_PAUSE,
            Ok(gateways) => (MAX_PAUSE_PER_GATEWAY * gateways).clamp(INITIAL_PAUSE, MAX_PAUSE),
        };
        let growth_steps = self.missed.clamp(1, MAX_GROWTH_MISSES) - 1;
        let pause = INITIAL_PAUSE.mul_f64(PAUSE_GROWTH.powf(f64::from(growth_steps)));
        pause
            .min(max_pause)
            .mul_f64(1.0 + PAUSE_JITTER * (2.0 * random - 1.0))
    }
}

/// Returns the interval between two calls to the platform of one of `gateways` that have no hub,
/// where the platform accepts `rate` calls per second. It is zero if the rate is unknown.
///
/// Load pattern: hundreds of gateways lose the hub at the same moment, and each fetches a server
/// list of 60 pages.
#[must_use]
pub fn call_interval(gateways: usize, rate: f64) -> Duration {
    let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
    let interval = f64::from(gateways) / (rate * SHARED_RATE_FRACTION);
    Duration::try_from_secs_f64(interval).unwrap_or(Duration::ZERO)
}

//! Decides which requests a process that is about to stop may still begin.
//!
//! A process ends at a fixed time after it was ordered to stop. What it begins until then follows from that time and from
//! what each request may still need, so that no request that it has begun late is cut off by its end.

use std::time::Duration;

use crate::clock::Instant;

/// Durations of a planned stop, which the deployment states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time after the order to stop at which the process is killed.
    pub grace: Duration,
    /// For how long after the order requests may be begun that probably end in time. Later, only those are begun that
    /// certainly do.
    pub tentative: Duration,
    /// Time that the process leaves unused of both: the delay until it notices the order, and the time to send the last
    /// bytes and to exit.
    pub margin: Duration,
}

/// What a request needs of the process that forwards it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// The time until its deadline, at which it ends in any case.
    pub longest: Duration,
    /// The time within which most such requests end; `None` if that is not known.
    pub expected: Option<Duration>,
}

/// How a request that is begun now will end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outlook {
    /// Before the process ends.
    Certain,
    /// Before the process ends, if it takes no longer than expected and begins before `until`.
    Likely {
        /// The latest time to begin it.
        until: Instant,
    },
    /// Possibly by the end of the process.
    Unsafe,
}

impl Outlook {
    /// Returns whether the request may be begun.
    #[must_use]
    pub const fn may_begin(self) -> bool {
        !matches!(self, Self::Unsafe)
    }

    /// Returns the name for log lines.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Certain => "certain",
            Self::Likely { .. } => "likely",
            Self::Unsafe => "unsafe",
        }
    }
}

/// The schedule of a planned stop.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use curlewlift_core::clock::Instant;
/// use curlewlift_core::stop::Need;
/// use curlewlift_core::stop::Outlook;
/// use curlewlift_core::stop::Plan;
/// use curlewlift_core::stop::Timing;
/// let timing = Timing {
///     grace: Duration::from_secs(8),
///     tentative: Duration::from_secs(3),
///     margin: Duration::from_millis(400),
/// };
/// let ordered = Instant::default();
/// let plan = Plan::new(timing, ordered);
/// let short = Need { longest: Duration::from_secs(1), expected: None };
/// assert_eq!(plan.outlook(short, ordered + Duration::from_secs(6)), Outlook::Certain);
/// let long = Need { longest: Duration::from_secs(15), expected: Some(Duration::from_secs(4)) };
/// assert!(plan.outlook(long, ordered + Duration::from_secs(2)).may_begin());
/// assert!(!plan.outlook(long, ordered + Duration::from_secs(3)).may_begin());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    ordered_at: Instant,
    tentative_until: Instant,
    ends_at: Instant,
}

impl Plan {
    /// Creates the schedule of a process that noticed the order to stop at `ordered_at`.
    #[must_use]
    pub fn new(timing: Timing, ordered_at: Instant) -> Self {
        let usable = |time: Duration| ordered_at + time.saturating_sub(timing.margin);
        let ends_at = usable(timing.grace);
        Self {
            ordered_at,
            tentative_until: usable(timing.tentative).min(ends_at),
            ends_at,
        }
    }

    /// Returns how a request would end that is begun at `now`.
    #[must_use]
    pub fn outlook(&self, need: Need, now: Instant) -> Outlook {
        if now + need.longest <= self.ends_at {
            return Outlook::Certain;
        }
        let Some(expected) = need.expected else {
            return Outlook::Unsafe;
        };
        let until = self.tentative_until.min(self.ends_at - expected);
        if now < until {
            Outlook::Likely { until }
        } else {
            Outlook::Unsafe
        }
    }

    /// Returns when the process noticed the order.
    #[must_use]
    pub const fn ordered_at(&self) -> Instant {
        self.ordered_at
    }

    /// Returns when the process ends at the latest.
    #[must_use]
    pub const fn ends_at(&self) -> Instant {
        self.ends_at
    }
}

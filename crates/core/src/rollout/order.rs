//! Roll-out orders of operators, and the steps of roll-outs that are committed to the log.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id;

use super::Version;

/// An order to move the traffic of a service to servers of another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The service.
    pub service: id::Service,
    /// The version that the traffic moves to.
    pub target: Version,
    /// The time within which the roll-out is to be completed.
    #[serde(rename = "length")]
    pub duration: Duration,
    /// When the order was given, in milliseconds of Unix time. A leader that did not receive the
    /// order itself computes its age from this. No guarantee depends on it, as clocks jump.
    pub given_ms: u64,
}

impl Order {
    /// Whether this and `other` are the same order, received twice.
    #[must_use]
    pub fn is_repeat_of(&self, other: &Self) -> bool {
        self.service == other.service
            && self.target == other.target
            && self.duration == other.duration
    }

    /// The time since the order was given, at `now_ms` of Unix time.
    ///
    /// It is at most the order's duration, so that a clock that jumps can't make an order older
    /// than that.
    #[must_use]
    pub fn age(&self, now_ms: u64) -> Duration {
        let age = Duration::from_millis(now_ms.saturating_sub(self.given_ms));
        age.min(self.duration)
    }
}

/// The phase of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// A limited share of the requests goes to the target version.
    Trial,
    /// All new requests go to the target version; requests that run on the former version finish
    /// there.
    Moving,
    /// No request runs on the former version any more; its servers may be stopped.
    Completed,
    /// The target version was rejected; the former version serves all requests.
    RolledBack,
}

impl Phase {
    /// Whether the roll-out has ended.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Whether a roll-out in this phase may advance to `next`.
    pub(super) fn can_advance_to(self, next: Self) -> bool {
        match self {
            Self::Trial => matches!(next, Self::Moving | Self::RolledBack),
            Self::Moving => next.is_final(),
            Self::Completed | Self::RolledBack => false,
        }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Trial => "trial",
            Self::Moving => "moving",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
        })
    }
}

/// A step of a roll-out, as it is committed to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// The service was first seen with servers of these versions, which serve it without any order.
    Established {
        /// The service.
        service: id::Service,
        /// The versions.
        versions: BTreeSet<Version>,
    },
    /// An operator ordered a roll-out.
    Ordered(Order),
    /// A roll-out advanced to another phase.
    Advanced {
        /// The service.
        service: id::Service,
        /// The target version of the roll-out.
        target: Version,
        /// The new phase.
        phase: Phase,
    },
}

//! What operators order of a roll-out, and the steps that the log carries of it.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id;

use super::Version;

/// An order to move a service's traffic to servers of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The service.
    pub service: id::Service,
    /// The version that it is to run.
    pub target: Version,
    /// Within what time after the order.
    #[serde(rename = "length")]
    pub duration: Duration,
    /// When it was given, in milliseconds of Unix time: a leader that did not see it come takes its age from
    /// this. Nothing that must always hold depends on it, as clocks jump.
    pub given_ms: u64,
}

impl Order {
    /// Whether `other` is the same order, given again.
    #[must_use]
    pub fn is_repeat_of(&self, other: &Self) -> bool {
        self.service == other.service
            && self.target == other.target
            && self.duration == other.duration
    }

    /// The time since it was given, at `now_ms` of Unix time; no more than its length, whatever clocks say.
    #[must_use]
    pub fn age(&self, now_ms: u64) -> Duration {
        let age = Duration::from_millis(now_ms.saturating_sub(self.given_ms));
        age.min(self.duration)
    }
}

/// How far a roll-out has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// A bounded part of the requests goes to the target.
    Trial,
    /// New requests go to the target; what runs at the former version ends.
    Moving,
    /// Nothing is left at the former version, which may be stopped.
    Completed,
    /// The former version serves on, alone.
    RolledBack,
}

impl Phase {
    /// Whether nothing follows it.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Whether a roll-out may come to `next` from here.
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

/// What the log carries of roll-outs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// These versions serve the service, without any order.
    Established {
        /// The service.
        service: id::Service,
        /// The versions.
        versions: BTreeSet<Version>,
    },
    /// An operator's order.
    Ordered(Order),
    /// A roll-out has come to another phase.
    Advanced {
        /// The service.
        service: id::Service,
        /// The version that was ordered.
        target: Version,
        /// The phase.
        phase: Phase,
    },
}

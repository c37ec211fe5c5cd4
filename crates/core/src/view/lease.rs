//! Messages between entries and the leader about leases, and the timing of leases.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::config::Snapshot;
use crate::id;
use crate::state::Step;

use super::Member;
use super::Roster;

/// Timing of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// How long a lease is valid, from the moment when the entry sent its renewal.
    pub duration: Duration,
    /// How long the leader waits beyond that: the maximum drift between two clocks over the duration
    /// of a lease.
    pub max_drift: Duration,
    /// Time between two renewals.
    pub renew_interval: Duration,
    /// The age at which a view is replaced even if its members stay the same: the number of the view
    /// under which a request key was generated indicates the age of the key.
    pub max_view_age: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(2),
            max_drift: Duration::from_millis(100),
            renew_interval: Duration::from_millis(400),
            max_view_age: Duration::from_hours(1),
        }
    }
}

/// An entry's request for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The entry.
    pub member: Member,
    /// The newest view that it has received; it no longer acts under any older one.
    pub held_view: id::View,
    /// The newest view that it has activated.
    pub active_view: id::View,
    /// Whether every shard that it stores is complete.
    pub shards_complete: bool,
    /// The revision that is in effect there.
    pub revision: id::Revision,
    /// Whether it has finished its work and no longer acts.
    pub stopped: bool,
}

/// How an entry gets to the newest configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// It has the newest one.
    None,
    /// Apply these steps in order.
    Steps(Vec<Step>),
    /// Replace the configuration by this one.
    Snapshot(Arc<Snapshot>),
}

/// The leader's response to a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The newest view, if it is newer than the one held.
    pub roster: Option<Roster>,
    /// The view before the newest.
    pub previous: Option<Roster>,
    /// The newest view's number.
    pub view: id::View,
    /// Whether the newest view is active.
    pub active: bool,
    /// How long the lease is valid, from the moment when the renewal was sent; `None` if there is no
    /// lease.
    pub lease: Option<Duration>,
    /// What the entry lacks of the newest configuration.
    pub update: Update,
}

//! What an entry and the leader say to each other about the lease.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::config::Snapshot;
use crate::id;
use crate::state::Step;

use super::Member;
use super::Roster;

/// How long leases last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// From the moment when the entry asked.
    pub duration: Duration,
    /// What the leader waits beyond that: the most that two clocks may drift over it.
    pub max_drift: Duration,
    /// Between two renewals.
    pub renew_interval: Duration,
    /// After which a view is followed by another even if nothing changed: its number tells the
    /// age of the keys that were drawn under it.
    pub max_view_age: Duration,
}

impl Default for Lease {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(2),
            max_drift: Duration::from_millis(100),
            renew_interval: Duration::from_millis(400),
            max_view_age: Duration::from_hours(1),
        }
    }
}

/// An entry asks for its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Who asks.
    pub member: Member,
    /// The newest view that it has adopted: it acts under no older one any more.
    pub held_view: id::View,
    /// The newest view that it has taken up as active.
    pub active_view: id::View,
    /// Whether every shard that it keeps is whole there.
    pub shards_complete: bool,
    /// The revision that is in force there.
    pub revision: id::Revision,
    /// Whether it has ended its work and acts no more.
    pub stopped: bool,
}

/// What an entry must do to have the newest configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// Nothing.
    None,
    /// Apply these, in order.
    Steps(Vec<Step>),
    /// Take this.
    Snapshot(Arc<Snapshot>),
}

/// The leader's answer.
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
    /// How long the lease lasts from the moment of asking; none is no lease.
    pub lease: Option<Duration>,
    /// What is newer in the configuration than what is in force there.
    pub update: Update,
}

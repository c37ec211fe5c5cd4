//! What is kept of a key.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;
use crate::code::Outcome;
use crate::id;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// Its holder is at it.
    Open,
    /// It has ended.
    Ended {
        /// Whether it ran.
        outcome: Outcome,
        /// Its result code.
        code: u16,
    },
}

/// What is kept of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// A hash of the request's body, path and method.
    pub digest: u64,
    /// The entry that holds the request, and its answer once there is one.
    pub holder: id::Host,
    /// The holder's incarnation.
    pub incarnation: u64,
    /// The holder's number for the request: the same claim sent again is the same claim.
    pub ticket: id::Ticket,
    /// What became of it.
    pub status: Status,
    /// When it was written here, by this entry's clock.
    #[serde(skip)]
    pub written: Instant,
}

impl Record {
    /// Whether the request surely did not run, so that the key may be claimed anew.
    #[must_use]
    pub fn is_reclaimable(&self) -> bool {
        let ended =
            |outcome| matches!(self.status, Status::Ended { outcome: o, .. } if o == outcome);
        ended(Outcome::NotRun)
    }
}

//! The record of a claimed key.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;
use crate::code::Outcome;
use crate::id;

/// The status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// Its holder is still processing it.
    Open,
    /// It has finished.
    Ended {
        /// Whether it ran.
        outcome: Outcome,
        /// Its result code.
        code: u16,
    },
}

/// The record of a claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// A hash of the request's body, path and method.
    pub digest: u64,
    /// The entry that processes the request and stores its response.
    pub holder: id::Host,
    /// The holder's incarnation.
    pub incarnation: u64,
    /// The holder's number for the request; it tells a resent claim from a competing one.
    pub ticket: id::Ticket,
    /// The status of the request.
    pub status: Status,
    /// When this entry stored the record, by its own clock.
    #[serde(skip)]
    pub written: Instant,
}

impl Record {
    /// Whether the request is known not to have run, so that the key may be claimed again.
    #[must_use]
    pub fn is_reclaimable(&self) -> bool {
        let ended_with = |outcome| matches!(self.status, Status::Ended { outcome: actual, .. } if actual == outcome);
        ended_with(Outcome::NotRun)
    }
}

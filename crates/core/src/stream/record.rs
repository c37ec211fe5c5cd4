//! The record of a stream that has begun.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id;
use crate::rollout::Version;

use super::Key;

/// Where a stream began, and must continue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The service.
    pub service: id::Service,
    /// The version of the server that sent the first event.
    pub version: Version,
}

/// A stream that has begun, as hosts tell each other of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The stream.
    pub key: Key,
    /// Where it began.
    pub origin: Origin,
    /// How much longer its caller may resume it.
    pub remaining: Duration,
}

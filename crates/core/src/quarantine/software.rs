//! The software of a backend server.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::id;
use crate::rollout::Version;

/// A version of a service's software. Requests that crash it may be sound at another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Software {
    /// The service.
    pub service: id::Service,
    /// The version.
    pub version: Version,
}

impl fmt::Display for Software {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.service, self.version)
    }
}

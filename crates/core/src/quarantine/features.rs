//! The features of a request by which crashes of servers are counted.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Identity;
use super::Part;

/// What a request is, and what it has in common with others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Features {
    /// The same for all retries of the request.
    pub identity: Identity,
    /// The parts of its prompt that other requests may have as well.
    pub parts: Arc<[Part]>,
}

impl Features {
    /// Returns whether the other request is the same, or has a part in common.
    #[must_use]
    pub fn has_common(&self, other: &Self) -> bool {
        let is_common = |part| other.parts.contains(part);
        self.identity == other.identity || self.parts.iter().any(is_common)
    }

    /// Returns the parts as text, separated by commas; `None` if there are none.
    #[must_use]
    pub fn parts_text(&self) -> Option<String> {
        let parts: Vec<_> = self.parts.iter().map(ToString::to_string).collect();
        (!parts.is_empty()).then(|| parts.join(","))
    }
}

impl From<Identity> for Features {
    fn from(identity: Identity) -> Self {
        Self {
            identity,
            parts: Arc::default(),
        }
    }
}

impl fmt::Display for Features {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.identity)
    }
}

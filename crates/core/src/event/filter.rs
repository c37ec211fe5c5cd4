//! Which events to show.

use serde::Deserialize;
use serde::Serialize;

use crate::id;

use super::Line;

/// Which events to show; what is not set lets all pass.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Filter {
    /// Of this request.
    pub key: Option<id::Key>,
    /// Of this customer.
    pub customer: Option<id::Customer>,
    /// About this backend server.
    pub server: Option<id::Server>,
    /// Of this host.
    pub host: Option<String>,
    /// With this number.
    pub number: Option<u16>,
    /// Not before this, in milliseconds since 1970.
    pub since: Option<u64>,
}

impl Filter {
    /// Whether `line` passes.
    #[must_use]
    pub fn passes(&self, line: &Line) -> bool {
        fn fits<T: PartialEq>(wanted: Option<&T>, there: Option<&T>) -> bool {
            wanted.is_none() || wanted == there
        }
        fits(self.key.as_ref(), line.key.as_ref())
            && fits(self.customer.as_ref(), line.customer.as_ref())
            && fits(self.server.as_ref(), line.server.as_ref())
            && fits(self.host.as_ref(), Some(&line.host))
            && self
                .number
                .is_none_or(|number| number == line.kind.number())
            && self.since.is_none_or(|since| line.stamp.millis() >= since)
    }
}

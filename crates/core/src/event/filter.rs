//! Selects events.

use serde::Deserialize;
use serde::Serialize;

use crate::id;

use super::Line;

/// Which events to show; a condition that is not set matches every event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Filter {
    /// Only events of this request.
    pub key: Option<id::Key>,
    /// Only events of this customer.
    pub customer: Option<id::Customer>,
    /// Only events about this backend server.
    pub server: Option<id::Server>,
    /// Only events of this host.
    pub host: Option<String>,
    /// Only events with this number.
    pub number: Option<u16>,
    /// Only events from this time on, in milliseconds since 1970.
    pub since: Option<u64>,
}

impl Filter {
    /// Whether `line` meets all conditions.
    #[must_use]
    pub fn matches(&self, line: &Line) -> bool {
        fn field_matches<T: PartialEq>(wanted: Option<&T>, actual: Option<&T>) -> bool {
            wanted.is_none() || wanted == actual
        }
        field_matches(self.key.as_ref(), line.key.as_ref())
            && field_matches(self.customer.as_ref(), line.customer.as_ref())
            && field_matches(self.server.as_ref(), line.server.as_ref())
            && field_matches(self.host.as_ref(), Some(&line.host))
            && self
                .number
                .is_none_or(|number| number == line.kind.number())
            && self.since.is_none_or(|since| line.stamp.millis() >= since)
    }
}

//! The orders, and what they are about.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::evacuation;
use crate::id;
use crate::quarantine;
use crate::quarantine::Part;
use crate::rollout;
use crate::state::Record;

/// An order of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Start or end the evacuation of a data hall.
    Evacuate(evacuation::Order),
    /// Move a service to another version.
    RollOut(rollout::Order),
    /// Release a part of prompts from quarantine.
    ReleasePart(Part),
}

/// What an order is about. Orders about different subjects do not affect each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A data hall.
    Hall(Arc<str>),
    /// A service.
    Service(id::Service),
    /// A part of prompts.
    Part(Part),
}

impl Order {
    /// What the order is about.
    #[must_use]
    pub fn subject(&self) -> Subject {
        match self {
            Self::Evacuate(order) => Subject::Hall(Arc::clone(&order.hall)),
            Self::RollOut(order) => Subject::Service(order.service.clone()),
            Self::ReleasePart(part) => Subject::Part(*part),
        }
    }

    /// The record of the log that carries the order out; `given_ms` is the time of day, in milliseconds of Unix time.
    #[must_use]
    pub fn into_record(self, given_ms: u64) -> Record {
        match self {
            Self::Evacuate(order) => Record::Evacuation(evacuation::Order { given_ms, ..order }),
            Self::RollOut(order) => {
                Record::Rollout(rollout::Step::Ordered(rollout::Order { given_ms, ..order }))
            }
            Self::ReleasePart(part) => {
                Record::Quarantine(vec![quarantine::Step::ReleasePart(part)])
            }
        }
    }
}

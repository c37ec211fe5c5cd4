//! The set of evacuated data halls.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Action;
use super::Order;

/// The data halls that are evacuated. Every replica computes the same value from the log.
///
/// # Examples
///
/// ```
/// use curlewlift_core::evacuation::Action;
/// use curlewlift_core::evacuation::EvacuatedHalls;
/// use curlewlift_core::evacuation::Order;
/// let mut halls = EvacuatedHalls::default();
/// halls.apply(&Order {
///     hall: "a".into(),
///     action: Action::Start,
///     given_ms: 0,
/// });
/// assert!(halls.is_evacuated("a"));
/// assert!(!halls.is_evacuated("b"));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedHalls {
    /// When the evacuation of each hall was ordered, in milliseconds of Unix time.
    since: BTreeMap<Arc<str>, u64>,
}

impl EvacuatedHalls {
    /// Applies an order.
    pub fn apply(&mut self, order: &Order) {
        match order.action {
            Action::Start => {
                let since = self.since.entry(Arc::clone(&order.hall));
                since.or_insert(order.given_ms);
            }
            Action::End => {
                self.since.remove(&order.hall);
            }
        }
    }

    /// Whether an order would change nothing, as its effect is already in place.
    #[must_use]
    pub fn is_applied(&self, order: &Order) -> bool {
        self.is_evacuated(&order.hall) == (order.action == Action::Start)
    }

    /// Whether a hall is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, hall: &str) -> bool {
        self.since.contains_key(hall)
    }

    /// The evacuated halls, and since when each is evacuated, in milliseconds of Unix time.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.since.iter().map(|(hall, since)| (hall, *since))
    }
}

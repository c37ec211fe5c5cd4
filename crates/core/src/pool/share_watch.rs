//! Watches which customers ask for more slot time than their share while there is not enough for all.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;

use super::SlotUsage;

/// The time over which slot time is added up: several times a typical stream, and short enough for an operator to see a
/// burst while it lasts.
const WINDOW: Duration = Duration::from_secs(5);

/// The least excess of slot time that counts, in percent of what was received: estimates are wrong by less, and less is
/// requested in one window and received in the next.
const MIN_EXCESS_PERCENT: u32 = 25;

/// A customer at a service.
type Key = (id::Service, Option<id::Customer>);

/// The slot time of a customer at a service.
pub type CustomerUsage = (id::Service, Option<id::Customer>, SlotUsage);

/// A customer has begun to ask for more than its share, or has ended that.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareChange {
    /// The service.
    pub service: id::Service,
    /// The customer; `None` for all requests without one.
    pub customer: Option<id::Customer>,
    /// Whether it asks for more than its share.
    pub exceeds: bool,
    /// Its slot time in the last window.
    pub usage: SlotUsage,
}

/// Compares what customers ask for with what they get.
#[derive(Clone, Debug, Default)]
pub struct ShareWatch {
    since: Instant,
    usage: BTreeMap<Key, SlotUsage>,
    exceeding: BTreeSet<Key>,
}

impl ShareWatch {
    /// Adds slot time of a customer. Returns the changes of the last window if it is over.
    pub fn add(&mut self, usage: &[CustomerUsage], now: Instant) -> Vec<ShareChange> {
        for (service, customer, usage) in usage {
            let key = (service.clone(), customer.clone());
            let total = self.usage.entry(key).or_default();
            total.requested += usage.requested;
            total.received += usage.received;
        }
        if now.since(self.since) < WINDOW {
            return Vec::new();
        }
        self.since = now;
        let usage = std::mem::take(&mut self.usage);
        let exceeding: BTreeSet<_> = usage
            .keys()
            .filter(|key| exceeds(&usage, key))
            .cloned()
            .collect();
        let former = std::mem::replace(&mut self.exceeding, exceeding);
        let different = self.exceeding.symmetric_difference(&former);
        let changes = different.map(|key| ShareChange {
            service: key.0.clone(),
            customer: key.1.clone(),
            exceeds: self.exceeding.contains(key),
            usage: usage.get(key).copied().unwrap_or_default(),
        });
        changes.collect()
    }
}

/// Whether a customer asked for more than it got, and for more than an equal share of what all customers of the service got.
fn exceeds(usage: &BTreeMap<Key, SlotUsage>, key: &Key) -> bool {
    let same = usage.iter().filter(|(other, _)| other.0 == key.0);
    let received: Vec<_> = same.map(|(_, usage)| usage.received).collect();
    let customers = u32::try_from(received.len()).unwrap_or(u32::MAX).max(1);
    let equal = received.iter().sum::<Duration>() / customers;
    let own = usage.get(key).copied().unwrap_or_default();
    own.requested > equal && own.requested * 100 > own.received * (100 + MIN_EXCESS_PERCENT)
}

//! The slot time of customers, for operators.

use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::id;
use curlewlift_core::pool::CustomerUsage;
use curlewlift_core::pool::ShareChange;

use super::replica::State;

impl State {
    /// Counts the slot time of customers, and notes on the timeline who has begun or ended to ask for more than its share.
    pub(super) fn record_slot_usage(&mut self) {
        let now = self.clock.now();
        let Some(hub) = &mut self.hub else {
            return;
        };
        let (usage, changes) = hub.take_slot_usage(now);
        usage.iter().for_each(count);
        for change in &changes {
            self.timeline.note(event(change));
        }
    }
}

fn count((service, customer, usage): &CustomerUsage) {
    let labels = [
        ("service", service.to_string()),
        ("customer", name(customer.as_ref()).to_owned()),
    ];
    let requested = u64::try_from(usage.requested.as_millis()).unwrap_or(u64::MAX);
    let received = u64::try_from(usage.received.as_millis()).unwrap_or(u64::MAX);
    metrics::counter!("curlewlift_slot_ms_requested", &labels).increment(requested);
    metrics::counter!("curlewlift_slot_ms_received", &labels).increment(received);
}

fn name(customer: Option<&id::Customer>) -> &str {
    customer.map_or("-", id::Customer::as_str)
}

fn event(change: &ShareChange) -> Line {
    let kind = if change.exceeds {
        Kind::ShareExceeded
    } else {
        Kind::ShareKept
    };
    let ShareChange { service, usage, .. } = change;
    let customer = name(change.customer.as_ref());
    let requested = usage.requested.as_millis();
    let received = usage.received.as_millis();
    Line::new(kind).detail(format_args!(
        "service={service} customer={customer} requested_ms={requested} received_ms={received}"
    ))
}

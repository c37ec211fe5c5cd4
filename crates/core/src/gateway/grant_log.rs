//! The grants of a hub whose requests have not ended.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::pool::Release;
use crate::quarantine::Effect;
use crate::quarantine::Features;
use crate::quarantine::Observation;
use crate::quarantine::Software;
use crate::quota::Charge;

use super::AttemptEnd;

/// The age after which a grant is forgotten. Longer requests are rare, and the end of one whose gateway was lost is never
/// reported.
const MAX_AGE: Duration = Duration::from_mins(1);

/// The maximum number of grants that are remembered: several times what the largest deployment has in flight.
const MAX_GRANTS: usize = 32_768;

/// How many parts of prompts are remembered in all, at 8 bytes each: eight for each grant.
const MAX_PARTS: usize = 8 * MAX_GRANTS;

/// What a slot is granted for.
#[derive(Clone, Debug)]
pub(super) struct Granted {
    /// The host of the gateway.
    pub(super) host: id::Host,
    pub(super) incarnation: Arc<str>,
    pub(super) software: Software,
    pub(super) features: Features,
    pub(super) customer: Option<id::Customer>,
    /// What was charged to the customer's quota for the grant.
    pub(super) charge: Option<Charge>,
    /// The number of the permit that the request is sent with.
    pub(super) permit: Option<u64>,
}

/// A granted request that has not ended.
#[derive(Clone, Debug)]
struct Entry {
    granted: Granted,
    granted_at: Instant,
    /// When the first event of its stream was reported.
    began_at: Option<Instant>,
}

/// Remembers when each slot was granted and to whom, until the end of its request is reported.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantLog {
    /// The grants by their number.
    entries: BTreeMap<u64, Entry>,
    /// How many parts of prompts the entries have.
    parts: usize,
}

impl GrantLog {
    /// Records the grant `number`.
    pub(super) fn record(&mut self, number: u64, granted: Granted, now: Instant) {
        while let Some((oldest, entry)) = self.entries.first_key_value()
            && (now.since(entry.granted_at) >= MAX_AGE
                || self.entries.len() >= MAX_GRANTS
                || self.parts + granted.features.parts.len() > MAX_PARTS)
        {
            let oldest = *oldest;
            self.remove(oldest);
        }
        self.parts += granted.features.parts.len();
        let entry = Entry {
            granted,
            granted_at: now,
            began_at: None,
        };
        self.entries.insert(number, entry);
    }

    fn remove(&mut self, number: u64) -> Option<Entry> {
        let entry = self.entries.remove(&number)?;
        self.parts -= entry.granted.features.parts.len();
        Some(entry)
    }

    /// Records that the response to the request of the grant `number` has begun.
    pub(super) fn record_begin(&mut self, number: u64, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&number) {
            entry.began_at.get_or_insert(now);
        }
    }

    /// Returns what is known of the requests with parts in their prompts that `host` had in flight when it was last heard of
    /// at `last_heard`. `is_in_flight` selects them by the number and the server of their grants.
    pub(super) fn in_flight(
        &self,
        host: &id::Host,
        is_in_flight: impl Fn(u64, &str) -> bool,
        last_heard: Instant,
        now: Instant,
    ) -> Vec<Observation> {
        let entries = self.entries.iter().filter(|(number, entry)| {
            let granted = &entry.granted;
            granted.host == *host
                && !granted.features.parts.is_empty()
                && is_in_flight(**number, &granted.incarnation)
        });
        let observations = entries.map(|(_, entry)| {
            let Granted {
                features,
                software,
                permit,
                incarnation,
                ..
            } = &entry.granted;
            // Any answer that began after the grant refutes a charge.
            let since = entry.began_at.map_or(entry.granted_at, |_| last_heard);
            Observation {
                features: features.clone(),
                software: software.clone(),
                permit: *permit,
                answered_for: entry.began_at.map(|began_at| last_heard.since(began_at)),
                age: now.since(since),
                effect: Effect::Silent(Arc::clone(incarnation)),
            }
        });
        observations.collect()
    }

    /// Forgets the grants of a process of `host` that is gone.
    pub(super) fn drop_host(&mut self, host: &id::Host) {
        let entries = self.entries.iter();
        let own = entries.filter(|(_, entry)| entry.granted.host == *host);
        let own: Vec<_> = own.map(|(number, _)| *number).collect();
        for number in own {
            self.remove(number);
        }
    }

    /// Removes the charge of the grant `number`, which was not used. Returns nothing if it has none, or is not known.
    pub(super) fn take_charge(&mut self, number: u64) -> Option<Charge> {
        self.entries.get_mut(&number)?.granted.charge.take()
    }

    /// Forgets the grant `number`, whose request ended as `end` says. Returns nothing if it is not known.
    pub(super) fn finish(
        &mut self,
        number: u64,
        end: &AttemptEnd,
        now: Instant,
    ) -> Option<Release> {
        let entry = self.remove(number)?;
        Some(Release {
            incarnation: entry.granted.incarnation,
            customer: entry.granted.customer,
            held: now.since(entry.granted_at),
            server_time: end.server_time,
            load: end.load,
        })
    }
}

//! The grants of a hub whose requests have not ended.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;
use crate::pool::Release;
use crate::quota::Charge;

use super::AttemptEnd;

/// The age after which a grant is forgotten. Longer requests are rare, and the end of one whose gateway was lost is never
/// reported.
const MAX_AGE: Duration = Duration::from_mins(1);

/// The maximum number of grants that are remembered: several times what the largest deployment has in flight.
const MAX_GRANTS: usize = 32_768;

/// A granted request that has not ended.
#[derive(Clone, Debug)]
struct Entry {
    incarnation: Arc<str>,
    customer: Option<id::Customer>,
    /// What was charged to the customer's quota for the grant.
    charge: Option<Charge>,
    granted_at: Instant,
}

/// Remembers when each slot was granted and to whom, until the end of its request is reported.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantLog {
    /// The grants by their number.
    entries: BTreeMap<u64, Entry>,
}

impl GrantLog {
    /// Records the grant `number`.
    pub(super) fn record(
        &mut self,
        number: u64,
        incarnation: Arc<str>,
        customer: Option<id::Customer>,
        charge: Option<Charge>,
        now: Instant,
    ) {
        while let Some(oldest) = self.entries.first_entry()
            && now.since(oldest.get().granted_at) >= MAX_AGE
        {
            oldest.remove();
        }
        if self.entries.len() >= MAX_GRANTS {
            self.entries.pop_first();
        }
        let entry = Entry {
            incarnation,
            customer,
            charge,
            granted_at: now,
        };
        self.entries.insert(number, entry);
    }

    /// Removes the charge of the grant `number`, which was not used. Returns nothing if it has none, or is not known.
    pub(super) fn take_charge(&mut self, number: u64) -> Option<Charge> {
        self.entries.get_mut(&number)?.charge.take()
    }

    /// Forgets the grant `number`, whose request ended as `end` says. Returns nothing if it is not known.
    pub(super) fn finish(
        &mut self,
        number: u64,
        end: &AttemptEnd,
        now: Instant,
    ) -> Option<Release> {
        let entry = self.entries.remove(&number)?;
        Some(Release {
            incarnation: entry.incarnation,
            customer: entry.customer,
            held: now.since(entry.granted_at),
            server_time: end.server_time,
            load: end.load,
        })
    }
}

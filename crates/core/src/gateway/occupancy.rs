//! What all gateways have in flight at each backend server.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;

use super::Load;

/// After how long a grant that its gateway has not taken up counts no more: some round trips
/// between data halls, and a busy host's delay.
const TAKEN_UP: Duration = Duration::from_millis(500);

/// A place that was granted and is in no report yet.
#[derive(Clone, Debug)]
struct Granted {
    number: u64,
    incarnation: Arc<str>,
    at: Instant,
}

/// What one gateway has in flight.
#[derive(Clone, Debug, Default)]
struct Held {
    loads: Vec<Load>,
    granted: VecDeque<Granted>,
}

/// What all gateways have in flight: what each last reported, and what it was granted since.
///
/// A report counts whole, so lost and doubled ones do no lasting harm. Memory is linear in what is
/// in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct Occupancy {
    held: BTreeMap<id::Host, Held>,
    sums: BTreeMap<Arc<str>, u32>,
    last: u64,
}

impl Occupancy {
    /// Takes up what `host` has in flight, of the grants up to number `seen`.
    pub(super) fn report(&mut self, host: &id::Host, seen: u64, loads: &[Load]) {
        let held = self.held.entry(host.clone()).or_default();
        let former = std::mem::replace(&mut held.loads, loads.to_vec());
        let mut over = Vec::new();
        while held
            .granted
            .front()
            .is_some_and(|granted| granted.number <= seen)
        {
            over.extend(held.granted.pop_front());
        }
        for load in loads {
            *self.sums.entry(Arc::clone(&load.incarnation)).or_default() += load.requests;
        }
        for load in former {
            self.take_off(&load.incarnation, load.requests);
        }
        for granted in over {
            self.take_off(&granted.incarnation, 1);
        }
    }

    /// Counts a place that `host` is given at `incarnation`; gives the grant's number.
    pub(super) fn grant(&mut self, host: &id::Host, incarnation: &Arc<str>, now: Instant) -> u64 {
        self.last += 1;
        let granted = Granted {
            number: self.last,
            incarnation: Arc::clone(incarnation),
            at: now,
        };
        let held = self.held.entry(host.clone()).or_default();
        held.granted.push_back(granted);
        *self.sums.entry(Arc::clone(incarnation)).or_default() += 1;
        self.last
    }

    /// Drops grants that were not taken up in time.
    pub(super) fn expire(&mut self, now: Instant) {
        let mut over = Vec::new();
        for held in self.held.values_mut() {
            while held
                .granted
                .front()
                .is_some_and(|granted| now.since(granted.at) >= TAKEN_UP)
            {
                over.extend(held.granted.pop_front());
            }
        }
        for granted in over {
            self.take_off(&granted.incarnation, 1);
        }
    }

    /// Drops what a gateway that is silent had in flight: backend servers end what nobody waits
    /// for.
    pub(super) fn drop_host(&mut self, host: &id::Host) {
        let Some(held) = self.held.remove(host) else {
            return;
        };
        for load in held.loads {
            self.take_off(&load.incarnation, load.requests);
        }
        for granted in held.granted {
            self.take_off(&granted.incarnation, 1);
        }
    }

    /// What is in flight at `incarnation`.
    pub(super) fn get(&self, incarnation: &str) -> u32 {
        self.sums.get(incarnation).copied().unwrap_or_default()
    }

    /// What gateways other than `host` have in flight.
    pub(super) fn others(&self, host: &id::Host) -> Vec<Load> {
        let own = |incarnation: &Arc<str>| {
            let Some(held) = self.held.get(host) else {
                return 0;
            };
            let loads = held.loads.iter();
            let loads = loads.filter(|load| load.incarnation == *incarnation);
            let granted = held.granted.iter();
            let granted = granted.filter(|granted| granted.incarnation == *incarnation);
            let granted = u32::try_from(granted.count()).unwrap_or(u32::MAX);
            granted.saturating_add(loads.map(|load| load.requests).sum())
        };
        let others = self.sums.iter().map(|(incarnation, sum)| Load {
            incarnation: Arc::clone(incarnation),
            requests: sum.saturating_sub(own(incarnation)),
        });
        others.filter(|load| load.requests > 0).collect()
    }

    fn take_off(&mut self, incarnation: &Arc<str>, requests: u32) {
        if let Some(sum) = self.sums.get_mut(incarnation) {
            *sum = sum.saturating_sub(requests);
            if *sum == 0 {
                self.sums.remove(incarnation);
            }
        }
    }
}

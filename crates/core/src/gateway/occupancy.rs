//! What all gateways have in flight at each backend server.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
    load: Load,
    at: Instant,
}

/// What one gateway has in flight.
#[derive(Clone, Debug, Default)]
struct Held {
    loads: Vec<Load>,
    granted: VecDeque<Granted>,
}

impl Held {
    /// All that counts as in flight.
    fn all(&self) -> impl Iterator<Item = &Load> {
        let granted = self.granted.iter().map(|granted| &granted.load);
        self.loads.iter().chain(granted)
    }

    /// Takes out the first grants, up to one that is not `over`.
    fn take_out(&mut self, over: impl Fn(&Granted) -> bool) -> Vec<Load> {
        let mut out = Vec::new();
        while let Some(granted) = self.granted.pop_front_if(|granted| over(granted)) {
            out.push(granted.load);
        }
        out
    }
}

/// What all gateways have in flight: what each last reported, and what it was granted since.
///
/// A report counts whole, so lost and doubled ones do no lasting harm. Memory is linear in what is
/// in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct Occupancy {
    held: BTreeMap<id::Host, Held>,
    /// Who was granted a place, in the order of time: looking through all gateways at each turn costs time linear in
    /// them.
    granted: VecDeque<(Instant, id::Host)>,
    sums: BTreeMap<Arc<str>, Load>,
    /// Incarnations whose sums have changed since that was last asked for.
    changed: BTreeSet<Arc<str>>,
    last: u64,
}

impl Occupancy {
    /// Takes up what `host` has in flight, of the grants up to number `seen`.
    pub(super) fn report(&mut self, host: &id::Host, seen: u64, loads: &[Load]) {
        let held = self.held.entry(host.clone()).or_default();
        let former = std::mem::replace(&mut held.loads, loads.to_vec());
        let taken_up = held.take_out(|granted| granted.number <= seen);
        for load in loads {
            self.add(load);
        }
        for load in former.iter().chain(&taken_up) {
            self.take_off(load);
        }
    }

    /// Counts a place that `host` is given for a request; gives the grant's number.
    pub(super) fn grant(&mut self, host: &id::Host, load: Load, now: Instant) -> u64 {
        self.last += 1;
        self.add(&load);
        let granted = Granted {
            number: self.last,
            load,
            at: now,
        };
        let held = self.held.entry(host.clone()).or_default();
        held.granted.push_back(granted);
        self.granted.push_back((now, host.clone()));
        self.last
    }

    /// The number of the last grant.
    pub(super) fn last_grant(&self) -> u64 {
        self.last
    }

    /// Drops grants that were not taken up in time.
    pub(super) fn expire(&mut self, now: Instant) {
        let is_late = |at: Instant| now.since(at) >= TAKEN_UP;
        while let Some((_, host)) = self.granted.pop_front_if(|(at, _)| is_late(*at)) {
            let held = self.held.get_mut(&host);
            let late = held.map(|held| held.take_out(|granted| is_late(granted.at)));
            for load in late.iter().flatten() {
                self.take_off(load);
            }
        }
    }

    /// Drops what a gateway that is silent had in flight: backend servers end what nobody waits
    /// for.
    pub(super) fn drop_host(&mut self, host: &id::Host) {
        let Some(held) = self.held.remove(host) else {
            return;
        };
        for load in held.all() {
            self.take_off(load);
        }
    }

    /// What is in flight at `incarnation`; none where nothing is.
    pub(super) fn get(&self, incarnation: &str) -> Option<&Load> {
        self.sums.get(incarnation)
    }

    /// What gateways other than `host` have in flight at some `incarnations`, where that is anything.
    pub(super) fn others(&self, host: &id::Host, incarnations: &[Arc<str>]) -> Vec<Load> {
        let held = self.held.get(host);
        let sums = incarnations.iter();
        let sums = sums.filter_map(|incarnation| self.sums.get(incarnation));
        let others = sums.map(|sum| {
            let mut others = sum.clone();
            let own = held.into_iter().flat_map(Held::all);
            for load in own.filter(|load| load.incarnation == sum.incarnation) {
                others.requests = others.requests.saturating_sub(load.requests);
                others.prefill_tokens.0 = others
                    .prefill_tokens
                    .0
                    .saturating_sub(load.prefill_tokens.0);
            }
            others
        });
        others.filter(|load| load.requests > 0).collect()
    }

    /// The incarnations whose sums have changed since this was last asked.
    pub(super) fn changed(&mut self) -> BTreeSet<Arc<str>> {
        std::mem::take(&mut self.changed)
    }

    /// Takes the sum of an incarnation for changed.
    pub(super) fn touch(&mut self, incarnation: &Arc<str>) {
        self.changed.insert(Arc::clone(incarnation));
    }

    fn add(&mut self, load: &Load) {
        self.touch(&load.incarnation);
        let sum = self.sums.entry(Arc::clone(&load.incarnation));
        let sum = sum.or_insert_with(|| Load {
            incarnation: Arc::clone(&load.incarnation),
            ..Load::default()
        });
        sum.requests = sum.requests.saturating_add(load.requests);
        sum.prefill_tokens.0 = sum.prefill_tokens.0.saturating_add(load.prefill_tokens.0);
    }

    fn take_off(&mut self, load: &Load) {
        self.touch(&load.incarnation);
        if let Some(sum) = self.sums.get_mut(&load.incarnation) {
            sum.requests = sum.requests.saturating_sub(load.requests);
            sum.prefill_tokens.0 = sum.prefill_tokens.0.saturating_sub(load.prefill_tokens.0);
            if sum.requests == 0 {
                self.sums.remove(&load.incarnation);
            }
        }
    }
}

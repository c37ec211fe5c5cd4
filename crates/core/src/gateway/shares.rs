//! Which gateways hold a part of what all of them may let in or send again by themselves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;
use crate::id::Host;
use crate::quota;

use super::version::version;

/// Between two changes of the parts, and before a leader's first: each is an entry of the log, and after a
/// start of all, gateways come within some 300 ms.
const APART: Duration = Duration::from_millis(300);

/// One further part for so many gateways, so that one that comes need not wait until all others have heard
/// that the parts are smaller.
const FURTHER: u32 = 8;

/// In how many parts what gateways may do by themselves is cut, and who holds one; kept in the log.
///
/// It holds that the parts by which hosts go are never more than one together, though a host goes by a
/// word for as long as [`quota::SHARE_LIFETIME`]: one is added only once all holders have got a word of there being
/// parts enough, and one is taken out only once it has had no word for so long. A leader that has only
/// begun counts from its own beginning.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shares {
    /// How many parts there are.
    pub count: u32,
    /// The hosts that hold one.
    pub holders: BTreeSet<Host>,
}

impl Shares {
    /// The part that `host` holds, 0 to 1.
    #[must_use]
    pub fn share_of(&self, host: &Host) -> f64 {
        if self.holders.contains(host) {
            self.fraction(1)
        } else {
            0.0
        }
    }

    /// So many parts, 0 to 1.
    #[must_use]
    pub fn fraction(&self, parts: usize) -> f64 {
        let parts = u32::try_from(parts).unwrap_or(u32::MAX);
        f64::from(parts.min(self.count)) / f64::from(self.count.max(1))
    }
}

/// When a gateway was last answered, and which answer it has surely got.
#[derive(Clone, Copy, Debug)]
struct Told {
    /// The number of the last answer, and when it was given.
    last: (u64, Instant),
    /// When the newest answer was given that the gateway says it has got.
    got: Option<Instant>,
}

/// A leader's care of the parts.
#[derive(Clone, Debug)]
pub struct ShareAllocator {
    began: Instant,
    parts: Shares,
    /// Since when there are at least as many parts as now.
    grown: Instant,
    /// The change that is on its way into the log.
    proposed: Option<Shares>,
    /// When the last change was begun.
    changed: Instant,
    told: BTreeMap<Host, Told>,
    /// What [`ShareAllocator::hub_fraction`] last came to, and until when that stands.
    hub_fraction: Option<(f64, Instant)>,
}

impl ShareAllocator {
    /// A leader begins at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            began: now,
            parts: Shares::default(),
            grown: now,
            proposed: None,
            changed: now,
            told: BTreeMap::new(),
            hub_fraction: None,
        }
    }

    /// Takes up the parts as they stand in the log at `now`.
    pub fn apply(&mut self, parts: &Shares, now: Instant) {
        if *parts == self.parts {
            return;
        }
        if parts.count > self.parts.count {
            self.grown = now;
        }
        self.parts = parts.clone();
        self.proposed = None;
        self.hub_fraction = None;
    }

    /// A gateway asks, and says which answer it has got last.
    pub fn on_poll(&mut self, host: &Host, got: u64, now: Instant) {
        if let Some(told) = self.told.get_mut(host)
            && told.last.0 == got
        {
            let was_aside = told
                .got
                .is_none_or(|got| got + quota::SHARE_RESERVE_DELAY <= now);
            told.got = Some(told.last.1);
            if was_aside {
                self.hub_fraction = None;
            }
        }
    }

    /// A gateway is answered: gives the answer's number and the part that it holds.
    pub fn on_reply(&mut self, host: &Host, number: u64, now: Instant) -> f64 {
        let got = self.acknowledged_at(host);
        let last = (number, now);
        self.told.insert(host.clone(), Told { last, got });
        let stays = |next: &Shares| next.holders.contains(host);
        if self.proposed.as_ref().is_none_or(stays) {
            self.parts.share_of(host)
        } else {
            0.0
        }
    }

    /// The part (0 to 1) of the allowances that is the hub's: not that of holders that have not said for
    /// [`quota::SHARE_RESERVE_DELAY`] that they got an answer.
    ///
    /// It is asked for at each request, and worked out again only when it can have changed: that costs time
    /// linear in the holders.
    pub fn hub_fraction(&mut self, now: Instant) -> f64 {
        if let Some((present, until)) = self.hub_fraction
            && now < until
        {
            return present;
        }
        let heard = self
            .parts
            .holders
            .iter()
            .filter_map(|host| self.acknowledged_at(host));
        let ends = heard
            .map(|got| got + quota::SHARE_RESERVE_DELAY)
            .filter(|end| now < *end);
        let (count, until) = ends.fold(
            (0, now + quota::SHARE_RESERVE_DELAY),
            |(count, until), end| (count + 1, until.min(end)),
        );
        let present = 1.0 - self.parts.fraction(self.parts.holders.len() - count);
        self.hub_fraction = Some((present, until));
        present
    }

    /// When the newest answer was given that `host` says it has got.
    fn acknowledged_at(&self, host: &Host) -> Option<Instant> {
        self.told.get(host).and_then(|told| told.got)
    }

    /// The parts as they are to be, where they are to change; none is added to `most` holders or more.
    pub fn propose(&mut self, most: usize, now: Instant) -> Option<Shares> {
        if now.since(self.changed) < APART || self.proposed.is_some() {
            return None;
        }
        let holders = &self.parts.holders;
        self.told.retain(|host, told| {
            holders.contains(host) || now.since(told.last.1) < quota::SHARE_LIFETIME
        });
        let next = self.next_shares(most, now);
        if next == self.parts {
            return None;
        }
        self.changed = now;
        self.proposed = Some(next.clone());
        Some(next)
    }

    fn next_shares(&self, most: usize, now: Instant) -> Shares {
        let goes_by = |host: &Host| {
            let last = self.told.get(host).map_or(self.began, |told| told.last.1);
            now.since(last) < quota::SHARE_LIFETIME
        };
        let holders = self.parts.holders.iter().filter(|host| goes_by(host));
        let mut holders: BTreeSet<_> = holders.cloned().collect();
        let comes = |host: &&Host| !holders.contains(*host) && goes_by(host);
        let come = self.told.keys().filter(comes).cloned();
        let come = chosen(come.collect(), most.saturating_sub(holders.len()));
        let wanted = u32::try_from(holders.len() + come.len()).unwrap_or(u32::MAX);
        if wanted > self.parts.count {
            let count = wanted + wanted / FURTHER;
            // Where nobody holds a part, nobody goes by a larger one.
            let holders = if holders.is_empty() { come } else { holders };
            return Shares { count, holders };
        }
        let heard_of_it = |host: &Host| {
            self.acknowledged_at(host)
                .is_some_and(|got| got >= self.grown)
        };
        if holders.iter().all(heard_of_it) {
            holders.extend(come);
        }
        Shares {
            count: self.parts.count,
            holders,
        }
    }
}

/// `most` of those hosts that come, drawn evenly over all: hosts next to each other go together.
fn chosen(mut come: Vec<Host>, most: usize) -> BTreeSet<Host> {
    come.sort_by_key(|host| version(&host.as_str()));
    come.truncate(most);
    come.into_iter().collect()
}

//! The gateways that live, and how a change of them is told.

use std::cmp::Ordering;
use std::collections::HashSet;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use super::Gateway;
use super::version::version;

/// How many changes are kept, for gateways that hold a former roll: with one change at each look of the hub (20 ms)
/// those of 5 s, several times what a question may take.
const KEPT: usize = 256;

/// The gateways that live.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Tells one content from another; not an order.
    pub version: u64,
    /// Those that take callers.
    pub gateways: Vec<Gateway>,
}

impl Membership {
    /// The roll of `gateways`, in whatever order they come.
    #[must_use]
    pub fn new(mut gateways: Vec<Gateway>) -> Self {
        gateways.sort_by(order);
        let version = version(&gateways);
        Self { version, gateways }
    }

    /// The roll after `news`; none where they are not about this one.
    ///
    /// The version tells: it comes from the content, so that what was missed or told twice shows.
    #[must_use]
    pub fn apply(&self, news: MembershipUpdate) -> Option<Self> {
        let roll = match news {
            MembershipUpdate::Whole(roll) => return Some(roll),
            MembershipUpdate::MembershipChange(change) => change,
        };
        let stays = |gateway: &&Gateway| !roll.removed.contains(gateway);
        let stay = self.gateways.iter().filter(stays).cloned();
        let after = Self::new(stay.chain(roll.added).collect());
        (after.version == roll.version).then_some(after)
    }

    /// Whether a gateway is on it.
    fn contains(&self, gateway: &Gateway) -> bool {
        let found = self
            .gateways
            .binary_search_by(|other| order(other, gateway));
        found.is_ok()
    }

    /// What makes `next` of this one.
    fn change_to(&self, next: &Self) -> MembershipChange {
        let come = next.gateways.iter().filter(|other| !self.contains(other));
        let gone = self.gateways.iter().filter(|other| !next.contains(other));
        MembershipChange {
            version: next.version,
            added: come.cloned().collect(),
            removed: gone.cloned().collect(),
        }
    }
}

/// The order of the gateways of a roll.
fn order(a: &Gateway, b: &Gateway) -> Ordering {
    (a.callers, &a.hall).cmp(&(b.callers, &b.hall))
}

/// What makes one roll of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipChange {
    /// The version of the roll that comes of it.
    pub version: u64,
    /// Gateways that have come.
    pub added: Vec<Gateway>,
    /// Gateways that have gone.
    pub removed: Vec<Gateway>,
}

/// What a gateway is told of the roll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipUpdate {
    /// All of it.
    Whole(Membership),
    /// What has changed since the roll that it holds.
    MembershipChange(MembershipChange),
}

/// The present roll, and what led to it.
///
/// While hosts come and go each answer tells a change. Worked out from two whole rolls it costs time linear in the
/// gateways, so all answers together quadratic; put together from the changes between, it costs what has changed.
#[derive(Clone, Debug, Default)]
pub(super) struct MembershipHistory {
    present: Membership,
    /// The versions of former rolls, and the change that each was followed by.
    changes: VecDeque<(u64, MembershipChange)>,
}

impl MembershipHistory {
    /// Takes up which gateways live now.
    pub(super) fn set(&mut self, gateways: Vec<Gateway>) {
        let roll = Membership::new(gateways);
        if roll.version == self.present.version {
            return;
        }
        let change = self.present.change_to(&roll);
        let former = std::mem::replace(&mut self.present, roll);
        self.changes.push_back((former.version, change));
        if self.changes.len() > KEPT {
            self.changes.pop_front();
        }
    }

    /// What a gateway is told that holds the roll with the version `held`; none where that is this one.
    pub(super) fn news(&self, held: u64) -> Option<MembershipUpdate> {
        if held == self.present.version {
            return None;
        }
        let mut former = self.changes.iter();
        let since = former.rposition(|(version, _)| *version == held && held != 0);
        Some(match since {
            Some(since) => MembershipUpdate::MembershipChange(self.since(since)),
            None => MembershipUpdate::Whole(self.present.clone()),
        })
    }

    /// Whether a gateway that holds the roll with the version `held` is told the whole.
    pub(super) fn is_unknown(&self, held: u64) -> bool {
        let is_held = |version: u64| version == held && held != 0;
        let mut former = self.changes.iter();
        !is_held(self.present.version) && !former.any(|(version, _)| is_held(*version))
    }

    /// The changes from the one at `place` on, as one.
    fn since(&self, place: usize) -> MembershipChange {
        let mut come: HashSet<&Gateway> = HashSet::new();
        let mut gone: HashSet<&Gateway> = HashSet::new();
        for (_, change) in self.changes.iter().skip(place) {
            // One that comes back, or goes again, is no change.
            for gateway in &change.removed {
                if !come.remove(gateway) {
                    gone.insert(gateway);
                }
            }
            for gateway in &change.added {
                if !gone.remove(gateway) {
                    come.insert(gateway);
                }
            }
        }
        MembershipChange {
            version: self.present.version,
            added: come.into_iter().cloned().collect(),
            removed: gone.into_iter().cloned().collect(),
        }
    }
}

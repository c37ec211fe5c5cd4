//! The gateway membership and its changes.

use std::cmp::Ordering;
use std::collections::HashSet;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use super::Gateway;
use super::StopNotice;
use super::content_hash::content_hash;

/// Number of changes that are stored for gateways with a former membership. With one change in each
/// scan of the hub (20 ms), they cover 5 s, several times the longest poll.
const MAX_KEPT_CHANGES: usize = 256;

/// The live gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// A hash of the content; versions have no order.
    pub version: u64,
    /// The gateways that accept callers.
    pub gateways: Vec<Gateway>,
}

impl Membership {
    /// Creates the membership of `gateways`, in any order.
    #[must_use]
    pub fn new(mut gateways: Vec<Gateway>) -> Self {
        gateways.sort_by(order);
        let version = content_hash(&gateways);
        Self { version, gateways }
    }

    /// Returns the membership after `update`, or nothing if the update starts from another one.
    ///
    /// As the version is a hash of the content, missed and repeated updates are noticed.
    #[must_use]
    pub fn apply(&self, update: MembershipUpdate) -> Option<Self> {
        let change = match update {
            MembershipUpdate::Whole(membership) => return Some(membership),
            MembershipUpdate::Change(change) => change,
        };
        let is_kept = |gateway: &&Gateway| !change.removed.contains(gateway);
        let kept = self.gateways.iter().filter(is_kept).cloned();
        let updated = Self::new(kept.chain(change.added).collect());
        (updated.version == change.version).then_some(updated)
    }

    /// Returns whether the gateway that a notice concerns is a member.
    pub(super) fn has(&self, notice: StopNotice) -> bool {
        let mut gateways = self.gateways.iter();
        gateways.any(|gateway| notice.concerns(gateway))
    }

    /// Returns whether a gateway is a member.
    fn contains(&self, gateway: &Gateway) -> bool {
        let position = self
            .gateways
            .binary_search_by(|other| order(other, gateway));
        position.is_ok()
    }

    /// Returns the change from this membership to `next`.
    fn change_to(&self, next: &Self) -> MembershipChange {
        let added = next.gateways.iter().filter(|other| !self.contains(other));
        let removed = self.gateways.iter().filter(|other| !next.contains(other));
        MembershipChange {
            version: next.version,
            added: added.cloned().collect(),
            removed: removed.cloned().collect(),
        }
    }
}

/// The order of the gateways in a membership.
fn order(a: &Gateway, b: &Gateway) -> Ordering {
    let key = |gateway: &Gateway| (gateway.callers, gateway.tunnels, gateway.incarnation);
    key(a).cmp(&key(b)).then_with(|| a.hall.cmp(&b.hall))
}

/// A change from one membership to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipChange {
    /// The version of the membership after the change.
    pub version: u64,
    /// Gateways that were added.
    pub added: Vec<Gateway>,
    /// Gateways that were removed.
    pub removed: Vec<Gateway>,
}

/// An update of the membership, as a gateway receives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipUpdate {
    /// The whole membership.
    Whole(Membership),
    /// The changes since the membership that the gateway has.
    Change(MembershipChange),
}

/// The current membership and the changes that led to it.
///
/// While hosts come and go, each reply carries a change. Comparing two memberships takes time
/// linear in the gateways, and so quadratic time for all replies together; merging the stored
/// changes takes time linear in what has changed.
#[derive(Clone, Debug, Default)]
pub(super) struct MembershipHistory {
    current: Membership,
    /// The changes by the versions of the memberships from which they start.
    changes: VecDeque<(u64, MembershipChange)>,
}

impl MembershipHistory {
    /// Sets the gateways that are live now.
    pub(super) fn set(&mut self, gateways: Vec<Gateway>) {
        let membership = Membership::new(gateways);
        if membership.version == self.current.version {
            return;
        }
        let change = self.current.change_to(&membership);
        let former = std::mem::replace(&mut self.current, membership);
        self.changes.push_back((former.version, change));
        if self.changes.len() > MAX_KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Returns the update for a gateway with the membership version `held_version`, or nothing if
    /// it is current.
    pub(super) fn update_since(&self, held_version: u64) -> Option<MembershipUpdate> {
        if held_version == self.current.version {
            return None;
        }
        let mut changes = self.changes.iter();
        let start = changes.rposition(|(version, _)| *version == held_version && held_version != 0);
        Some(match start {
            Some(index) => MembershipUpdate::Change(self.changes_from(index)),
            None => MembershipUpdate::Whole(self.current.clone()),
        })
    }

    /// Returns whether a gateway with the membership version `held_version` needs the whole
    /// membership.
    pub(super) fn needs_whole(&self, held_version: u64) -> bool {
        let matches = |version: u64| version == held_version && held_version != 0;
        let mut changes = self.changes.iter();
        !matches(self.current.version) && !changes.any(|(version, _)| matches(*version))
    }

    /// Returns the membership versions that are known not to have the gateway that `notice` concerns, or nothing if no
    /// version has had it of late.
    pub(super) fn versions_without(&self, notice: StopNotice) -> Option<HashSet<u64>> {
        if self.current.has(notice) {
            return Some(HashSet::new());
        }
        let removes = |change: &MembershipChange| {
            let mut removed = change.removed.iter();
            removed.any(|gateway| notice.concerns(gateway))
        };
        let mut changes = self.changes.iter();
        let removal = changes.rposition(|(_, change)| removes(change))?;
        let later = self.changes.iter().skip(removal + 1);
        let later = later.map(|(version, _)| *version);
        Some(later.chain([self.current.version]).collect())
    }

    /// Merges the changes from `index` on.
    fn changes_from(&self, index: usize) -> MembershipChange {
        let mut added: HashSet<&Gateway> = HashSet::new();
        let mut removed: HashSet<&Gateway> = HashSet::new();
        for (_, change) in self.changes.iter().skip(index) {
            // A gateway that was added and removed, or the reverse, has not changed.
            for gateway in &change.removed {
                if !added.remove(gateway) {
                    removed.insert(gateway);
                }
            }
            for gateway in &change.added {
                if !removed.remove(gateway) {
                    added.insert(gateway);
                }
            }
        }
        MembershipChange {
            version: self.current.version,
            added: added.into_iter().cloned().collect(),
            removed: removed.into_iter().cloned().collect(),
        }
    }
}

//! Lease handling at the leader of the control hosts.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Instant;
use crate::code::Code;
use crate::code::Refusal;
use crate::config::Role;
use crate::config::Snapshot;
use crate::config::State;
use crate::id;
use crate::state::Machine;

use super::Grant;
use super::LeaseTiming;
use super::Member;
use super::Renewal;
use super::Roster;
use super::Update;

/// The status of an entry that no longer renews is dropped after this many lease durations.
const FORGET_AFTER_LEASES: u32 = 10;

/// Identifies one process of an entry: its host and incarnation.
type ProcessId = (id::Host, u64);

/// What an entry reported in its last renewal, and when that arrived.
#[derive(Clone, Debug)]
struct MemberStatus {
    member: Member,
    held_view: id::View,
    active_view: id::View,
    shards_complete: bool,
    revision: id::Revision,
    last_renewal: Instant,
    stopped: bool,
}

/// Grants leases at the leader, proposes new views, and decides when a view becomes active.
///
/// Each new leader starts with an empty grantor. It assumes that every member of the views that
/// it finds was granted a lease just before it took over. Memory, and the time of each call, are
/// linear in the number of entries.
#[derive(Clone, Debug)]
pub struct Grantor {
    lease_timing: LeaseTiming,
    leader_since: Instant,
    active_since: Option<(id::View, Instant)>,
    statuses: BTreeMap<ProcessId, MemberStatus>,
}

impl Grantor {
    /// Creates the grantor of a leader that was elected at `now`.
    #[must_use]
    pub fn new(lease_timing: LeaseTiming, now: Instant) -> Self {
        Self {
            lease_timing,
            leader_since: now,
            active_since: None,
            statuses: BTreeMap::new(),
        }
    }

    /// Grants or declines the lease that `renewal` asks for.
    ///
    /// Call it only on a replica that is certain to lead at `now`; see
    /// [`crate::log::Replica::reaches_majority`].
    ///
    /// # Errors
    ///
    /// [`Code::Unknown`] if the configuration has no such entry.
    pub fn renew(
        &mut self,
        renewal: &Renewal,
        machine: &Machine,
        now: Instant,
    ) -> Result<Grant, Refusal> {
        let snapshot = machine.get_snapshot();
        let host = snapshot.hosts.get(&renewal.member.host);
        if host.is_none_or(|host| host.role != Role::Entry) {
            let message = format!("the configuration has no entry `{}`", renewal.member.host);
            return Err(Refusal::new(Code::Unknown, message));
        }
        let roster = machine.get_roster();
        let status = MemberStatus {
            member: renewal.member.clone(),
            held_view: renewal.held_view,
            active_view: renewal.active_view,
            shards_complete: renewal.shards_complete,
            revision: renewal.revision,
            last_renewal: now,
            stopped: renewal.stopped,
        };
        let timing = self.lease_timing;
        self.statuses.retain(|_, status| {
            now.since(status.last_renewal)
                < (timing.duration + timing.max_drift) * FORGET_AFTER_LEASES
        });
        self.statuses.insert(process_id(&renewal.member), status);
        let is_newer = roster.number > renewal.held_view;
        Ok(Grant {
            roster: is_newer.then(|| roster.clone()),
            previous: is_newer.then(|| machine.get_previous_roster().clone()),
            view: roster.number,
            active: self.is_active(machine, now),
            lease: (roster.has(&renewal.member) && !renewal.stopped)
                .then_some(self.lease_timing.duration),
            update: config_update(machine, renewal.revision),
        })
    }

    /// Whether the newest view is active: no member of the previous view can act under that one any
    /// more.
    #[must_use]
    pub fn is_active(&self, machine: &Machine, now: Instant) -> bool {
        let number = machine.get_roster().number;
        let previous_members = machine.get_previous_roster().members.iter();
        let mut have_left =
            previous_members.map(|member| self.has_left_previous_view(member, number, now));
        have_left.all(|left| left)
    }

    /// Whether `member` can no longer act under a view before `number`.
    fn has_left_previous_view(&self, member: &Member, number: id::View, now: Instant) -> bool {
        match self.statuses.get(&process_id(member)) {
            Some(status) if status.held_view >= number || status.stopped => true,
            Some(status) => self.is_lease_expired(status.last_renewal, now),
            None => self.is_lease_expired(self.leader_since, now),
        }
    }

    /// Whether a lease that was granted at `granted` has expired, clock drift included.
    fn is_lease_expired(&self, granted: Instant, now: Instant) -> bool {
        now.since(granted) > self.lease_timing.duration + self.lease_timing.max_drift
    }

    /// Proposes the next view, if the current one is active and either its members have changed or
    /// it has reached [`LeaseTiming::max_view_age`].
    ///
    /// No view is proposed before each live member has activated the current one, so that no copy of
    /// a shard's claims is skipped. While some member's copies are incomplete, only the loss of
    /// another member leads to a new view.
    #[must_use]
    pub fn propose_roster(&mut self, machine: &Machine, now: Instant) -> Option<Roster> {
        let roster = machine.get_roster();
        if !self.is_active(machine, now) {
            return None;
        }
        let since = match self.active_since {
            Some((number, since)) if number == roster.number => since,
            _ => {
                self.active_since = Some((roster.number, now));
                now
            }
        };
        let members = roster.members.iter();
        let live_members: Vec<_> = members
            .filter(|member| !self.has_stopped(member, now))
            .collect();
        if !live_members
            .iter()
            .all(|member| self.has_activated(member, roster))
        {
            return None;
        }
        let member_lost = live_members.len() < roster.members.len();
        if !member_lost
            && !live_members
                .iter()
                .all(|member| self.has_complete_shards(member))
        {
            return None;
        }
        let too_old =
            !roster.members.is_empty() && now.since(since) >= self.lease_timing.max_view_age;
        let mut members: Vec<_> = live_members
            .iter()
            .map(|member| self.latest_member(member))
            .collect();
        for status in self.statuses.values() {
            let is_new = members
                .iter()
                .all(|member: &Member| member.host != status.member.host);
            if is_new && !status.stopped && !self.is_lease_expired(status.last_renewal, now) {
                members.push(status.member.clone());
            }
        }
        apply_operator_state(&mut members, machine.get_snapshot());
        members.sort_by(|a, b| a.host.cmp(&b.host));
        let number = roster.number.next();
        (too_old || members != roster.members).then_some(Roster { number, members })
    }

    /// Whether `member` no longer acts: it has reported that it stopped, or its lease has expired.
    fn has_stopped(&self, member: &Member, now: Instant) -> bool {
        match self.statuses.get(&process_id(member)) {
            Some(status) => status.stopped || self.is_lease_expired(status.last_renewal, now),
            None => self.is_lease_expired(self.leader_since, now),
        }
    }

    fn has_activated(&self, member: &Member, roster: &Roster) -> bool {
        let status = self.statuses.get(&process_id(member));
        status.is_some_and(|status| status.active_view >= roster.number)
    }

    fn has_complete_shards(&self, member: &Member) -> bool {
        self.statuses
            .get(&process_id(member))
            .is_some_and(|status| status.shards_complete)
    }

    /// `member` as its last renewal described it.
    fn latest_member(&self, member: &Member) -> Member {
        let status = self.statuses.get(&process_id(member));
        status.map_or(member, |status| &status.member).clone()
    }

    /// For each entry: its host, the revision and the view that it last reported, and the time of
    /// that renewal.
    pub fn reported_revisions(
        &self,
    ) -> impl Iterator<Item = (&id::Host, id::Revision, id::View, Instant)> {
        let statuses = self.statuses.values();
        statuses.map(|status| {
            (
                &status.member.host,
                status.revision,
                status.held_view,
                status.last_renewal,
            )
        })
    }
}

/// Returns the steps since revision `held` if all are still stored, otherwise the whole snapshot.
///
/// With steps, a change sends a single line to each entry instead of the whole configuration.
fn config_update(machine: &Machine, held: id::Revision) -> Update {
    let snapshot = machine.get_snapshot();
    if snapshot.revision <= held {
        return Update::None;
    }
    let steps = machine.steps_since(held).filter(|_| held > id::Revision(0));
    steps.map_or_else(|| Update::Snapshot(Arc::clone(snapshot)), Update::Steps)
}

fn process_id(member: &Member) -> ProcessId {
    (member.host.clone(), member.incarnation)
}

/// Sets `owns` and `leaving` as the operators configured them for each host. A member that itself
/// reports that it is leaving stays so.
fn apply_operator_state(members: &mut [Member], snapshot: &Snapshot) {
    for member in members {
        let host = snapshot.hosts.get(&member.host);
        member.owns = host.is_some_and(|host| host.owns);
        let state = host.map_or(State::Leaving, |host| host.state);
        member.leaving |= state != State::Live;
    }
}

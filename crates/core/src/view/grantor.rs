//! The leader's side of the leases.

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
use super::Lease;
use super::Member;
use super::Renewal;
use super::Roster;
use super::Update;

/// After how many leases an entry that is not heard any more is forgotten.
const FORGET_AFTER_LEASES: u32 = 10;

/// One run of an entry: a host and its incarnation.
type ProcessId = (id::Host, u64);

/// What the leader knows of one entry.
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

/// The leader's side: grants leases, and says when the view must change and when it is active.
///
/// It begins empty with each leader; a new leader counts every member of the views that it finds
/// as holding a lease that was granted in the moment before. Memory and each round are linear in
/// the entries.
#[derive(Clone, Debug)]
pub struct Grantor {
    lease: Lease,
    leader_since: Instant,
    active_since: Option<(id::View, Instant)>,
    statuses: BTreeMap<ProcessId, MemberStatus>,
}

impl Grantor {
    /// A grantor for a leader that began to lead at `now`.
    #[must_use]
    pub fn new(lease: Lease, now: Instant) -> Self {
        Self {
            lease,
            leader_since: now,
            active_since: None,
            statuses: BTreeMap::new(),
        }
    }

    /// Answers a renewal.
    ///
    /// The caller must be sure that it leads at `now`; see [`crate::log::Replica::reaches_majority`].
    ///
    /// # Errors
    ///
    /// [`Code::Unknown`] where the configuration has no such entry.
    pub fn renew(
        &mut self,
        asked: &Renewal,
        machine: &Machine,
        now: Instant,
    ) -> Result<Grant, Refusal> {
        let snapshot = machine.get_snapshot();
        let host = snapshot.hosts.get(&asked.member.host);
        if host.is_none_or(|host| host.role != Role::Entry) {
            let why = format!("the configuration has no entry `{}`", asked.member.host);
            return Err(Refusal::new(Code::Unknown, why));
        }
        let roster = machine.get_roster();
        let seen = MemberStatus {
            member: asked.member.clone(),
            held_view: asked.held_view,
            active_view: asked.active_view,
            shards_complete: asked.shards_complete,
            revision: asked.revision,
            last_renewal: now,
            stopped: asked.stopped,
        };
        let lease = self.lease;
        self.statuses.retain(|_, seen| {
            now.since(seen.last_renewal) < (lease.duration + lease.max_drift) * FORGET_AFTER_LEASES
        });
        self.statuses.insert(process_id(&asked.member), seen);
        let newer = roster.number > asked.held_view;
        Ok(Grant {
            roster: newer.then(|| roster.clone()),
            previous: newer.then(|| machine.get_previous_roster().clone()),
            view: roster.number,
            active: self.is_active(machine, now),
            lease: (roster.has(&asked.member) && !asked.stopped).then_some(self.lease.duration),
            update: config_update(machine, asked.revision),
        })
    }

    /// Whether no member of the former view can act under it any more.
    #[must_use]
    pub fn is_active(&self, machine: &Machine, now: Instant) -> bool {
        let number = machine.get_roster().number;
        let former = machine.get_previous_roster().members.iter();
        let mut former = former.map(|member| self.has_left_previous_view(member, number, now));
        former.all(|gone| gone)
    }

    fn has_left_previous_view(&self, member: &Member, number: id::View, now: Instant) -> bool {
        match self.statuses.get(&process_id(member)) {
            Some(seen) if seen.held_view >= number || seen.stopped => true,
            Some(seen) => self.is_lease_expired(seen.last_renewal, now),
            None => self.is_lease_expired(self.leader_since, now),
        }
    }

    fn is_lease_expired(&self, granted: Instant, now: Instant) -> bool {
        now.since(granted) > self.lease.duration + self.lease.max_drift
    }

    /// The next view, where the present one is active and no longer fits, or has lasted so long
    /// that its number tells no age any more.
    ///
    /// A view stays until each of its members that lives has taken it up: a copy of a shard's claims
    /// is never passed over. And while a copy is not whole only a death makes the next view.
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
        let live: Vec<_> = members
            .filter(|member| !self.has_stopped(member, now))
            .collect();
        if !live.iter().all(|member| self.has_activated(member, roster)) {
            return None;
        }
        let death = live.len() < roster.members.len();
        if !death && !live.iter().all(|member| self.has_complete_shards(member)) {
            return None;
        }
        let aged = !roster.members.is_empty() && now.since(since) >= self.lease.max_view_age;
        let mut members: Vec<_> = live
            .iter()
            .map(|member| self.latest_member(member))
            .collect();
        for seen in self.statuses.values() {
            let is_new = members
                .iter()
                .all(|member: &Member| member.host != seen.member.host);
            if is_new && !seen.stopped && !self.is_lease_expired(seen.last_renewal, now) {
                members.push(seen.member.clone());
            }
        }
        apply_operator_state(&mut members, machine.get_snapshot());
        members.sort_by(|a, b| a.host.cmp(&b.host));
        let number = roster.number.next();
        (aged || members != roster.members).then_some(Roster { number, members })
    }

    /// Whether `member` acts no more: it has said so, or its lease has run out.
    fn has_stopped(&self, member: &Member, now: Instant) -> bool {
        match self.statuses.get(&process_id(member)) {
            Some(seen) => seen.stopped || self.is_lease_expired(seen.last_renewal, now),
            None => self.is_lease_expired(self.leader_since, now),
        }
    }

    fn has_activated(&self, member: &Member, roster: &Roster) -> bool {
        let seen = self.statuses.get(&process_id(member));
        seen.is_some_and(|seen| seen.active_view >= roster.number)
    }

    fn has_complete_shards(&self, member: &Member) -> bool {
        self.statuses
            .get(&process_id(member))
            .is_some_and(|seen| seen.shards_complete)
    }

    /// What `member` has last said of itself.
    fn latest_member(&self, member: &Member) -> Member {
        let seen = self.statuses.get(&process_id(member));
        seen.map_or(member, |seen| &seen.member).clone()
    }

    /// The revision that was last told to be in force at each entry, and how long ago.
    pub fn reported_revisions(
        &self,
    ) -> impl Iterator<Item = (&id::Host, id::Revision, id::View, Instant)> {
        let seen = self.statuses.values();
        seen.map(|seen| {
            (
                &seen.member.host,
                seen.revision,
                seen.held_view,
                seen.last_renewal,
            )
        })
    }
}

/// The steps where they are known, else the whole: a change costs a line an entry.
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

/// Marks what the operators drain or set aside; a member that says itself that it is leaving stays
/// marked.
fn apply_operator_state(members: &mut [Member], snapshot: &Snapshot) {
    for member in members {
        let host = snapshot.hosts.get(&member.host);
        member.owns = host.is_some_and(|host| host.owns);
        let state = host.map_or(State::Leaving, |host| host.state);
        member.leaving |= state != State::Live;
    }
}

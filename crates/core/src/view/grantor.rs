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
const FORGET: u32 = 10;

/// One run of an entry: a host and its incarnation.
type Process = (id::Host, u64);

/// What the leader knows of one entry.
#[derive(Clone, Debug)]
struct Seen {
    member: Member,
    held: id::View,
    acting: id::View,
    whole: bool,
    revision: id::Revision,
    heard: Instant,
    gone: bool,
}

/// The leader's side: grants leases, and says when the view must change and when it is active.
///
/// It begins empty with each leader; a new leader counts every member of the views that it finds
/// as holding a lease that was granted in the moment before. Memory and each round are linear in
/// the entries.
#[derive(Clone, Debug)]
pub struct Grantor {
    lease: Lease,
    began: Instant,
    active: Option<(id::View, Instant)>,
    seen: BTreeMap<Process, Seen>,
}

impl Grantor {
    /// A grantor for a leader that began to lead at `now`.
    #[must_use]
    pub fn new(lease: Lease, now: Instant) -> Self {
        Self {
            lease,
            began: now,
            active: None,
            seen: BTreeMap::new(),
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
        let seen = Seen {
            member: asked.member.clone(),
            held: asked.held_view,
            acting: asked.active_view,
            whole: asked.shards_complete,
            revision: asked.revision,
            heard: now,
            gone: asked.stopped,
        };
        let lease = self.lease;
        self.seen
            .retain(|_, seen| now.since(seen.heard) < (lease.duration + lease.max_drift) * FORGET);
        self.seen.insert(process(&asked.member), seen);
        let newer = roster.number > asked.held_view;
        Ok(Grant {
            roster: newer.then(|| roster.clone()),
            previous: newer.then(|| machine.get_previous_roster().clone()),
            view: roster.number,
            active: self.is_active(machine, now),
            lease: (roster.has(&asked.member) && !asked.stopped).then_some(self.lease.duration),
            update: news(machine, asked.revision),
        })
    }

    /// Whether no member of the former view can act under it any more.
    #[must_use]
    pub fn is_active(&self, machine: &Machine, now: Instant) -> bool {
        let number = machine.get_roster().number;
        let former = machine.get_previous_roster().members.iter();
        let mut former = former.map(|member| self.has_let_go(member, number, now));
        former.all(|gone| gone)
    }

    fn has_let_go(&self, member: &Member, number: id::View, now: Instant) -> bool {
        match self.seen.get(&process(member)) {
            Some(seen) if seen.held >= number || seen.gone => true,
            Some(seen) => self.has_run_out(seen.heard, now),
            None => self.has_run_out(self.began, now),
        }
    }

    fn has_run_out(&self, granted: Instant, now: Instant) -> bool {
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
        let since = match self.active {
            Some((number, since)) if number == roster.number => since,
            _ => {
                self.active = Some((roster.number, now));
                now
            }
        };
        let members = roster.members.iter();
        let live: Vec<_> = members
            .filter(|member| !self.is_dead(member, now))
            .collect();
        if !live.iter().all(|member| self.has_taken_up(member, roster)) {
            return None;
        }
        let death = live.len() < roster.members.len();
        if !death && !live.iter().all(|member| self.is_whole(member)) {
            return None;
        }
        let aged = !roster.members.is_empty() && now.since(since) >= self.lease.max_view_age;
        let mut members: Vec<_> = live.iter().map(|member| self.newest(member)).collect();
        for seen in self.seen.values() {
            let is_new = members
                .iter()
                .all(|member: &Member| member.host != seen.member.host);
            if is_new && !seen.gone && !self.has_run_out(seen.heard, now) {
                members.push(seen.member.clone());
            }
        }
        mark(&mut members, machine.get_snapshot());
        members.sort_by(|a, b| a.host.cmp(&b.host));
        let number = roster.number.next();
        (aged || members != roster.members).then_some(Roster { number, members })
    }

    /// Whether `member` acts no more: it has said so, or its lease has run out.
    fn is_dead(&self, member: &Member, now: Instant) -> bool {
        match self.seen.get(&process(member)) {
            Some(seen) => seen.gone || self.has_run_out(seen.heard, now),
            None => self.has_run_out(self.began, now),
        }
    }

    fn has_taken_up(&self, member: &Member, roster: &Roster) -> bool {
        let seen = self.seen.get(&process(member));
        seen.is_some_and(|seen| seen.acting >= roster.number)
    }

    fn is_whole(&self, member: &Member) -> bool {
        self.seen
            .get(&process(member))
            .is_some_and(|seen| seen.whole)
    }

    /// What `member` has last said of itself.
    fn newest(&self, member: &Member) -> Member {
        let seen = self.seen.get(&process(member));
        seen.map_or(member, |seen| &seen.member).clone()
    }

    /// The revision that was last told to be in force at each entry, and how long ago.
    pub fn revisions(&self) -> impl Iterator<Item = (&id::Host, id::Revision, id::View, Instant)> {
        let seen = self.seen.values();
        seen.map(|seen| (&seen.member.host, seen.revision, seen.held, seen.heard))
    }
}

/// The steps where they are known, else the whole: a change costs a line an entry.
fn news(machine: &Machine, held: id::Revision) -> Update {
    let snapshot = machine.get_snapshot();
    if snapshot.revision <= held {
        return Update::None;
    }
    let steps = machine.steps_since(held).filter(|_| held > id::Revision(0));
    steps.map_or_else(|| Update::Snapshot(Arc::clone(snapshot)), Update::Steps)
}

fn process(member: &Member) -> Process {
    (member.host.clone(), member.incarnation)
}

/// Marks what the operators drain or set aside; a member that says itself that it is leaving stays
/// marked.
fn mark(members: &mut [Member], snapshot: &Snapshot) {
    for member in members {
        let host = snapshot.hosts.get(&member.host);
        member.owns = host.is_some_and(|host| host.owns);
        let state = host.map_or(State::Leaving, |host| host.state);
        member.leaving |= state != State::Live;
    }
}

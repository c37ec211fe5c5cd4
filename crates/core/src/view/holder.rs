//! An entry's side of the leases.

use std::sync::Arc;

use crate::clock::Instant;
use crate::config::Snapshot;
use crate::id;
use crate::lang;
use crate::lang::Statement;
use crate::state::Step;

use super::Grant;
use super::Member;
use super::Renewal;
use super::Roster;
use super::Update;

/// An entry's side: which view and which revision it holds, and whether it may act.
#[derive(Clone, Debug)]
pub struct Holder {
    member: Member,
    roster: Arc<Roster>,
    previous_roster: Arc<Roster>,
    active: bool,
    lease_until: Instant,
    snapshot: Arc<Snapshot>,
    stopped: bool,
    shards_complete: bool,
}

impl Holder {
    /// An entry that holds nothing yet.
    #[must_use]
    pub fn new(member: Member) -> Self {
        Self {
            member,
            roster: Arc::default(),
            previous_roster: Arc::default(),
            active: false,
            lease_until: Instant::default(),
            snapshot: Arc::default(),
            stopped: false,
            shards_complete: true,
        }
    }

    /// What to ask the leader now.
    #[must_use]
    pub fn renewal(&self) -> Renewal {
        Renewal {
            member: self.member.clone(),
            held_view: self.roster.number,
            active_view: if self.active {
                self.roster.number
            } else {
                id::View::default()
            },
            shards_complete: self.shards_complete,
            revision: self.snapshot.revision,
            stopped: self.stopped,
        }
    }

    /// Takes in the answer to what was asked at `asked`.
    ///
    /// Answers may come in any order: an older view or revision never replaces a newer one, and
    /// the lease counts from the moment of asking.
    pub fn on_grant(&mut self, grant: Grant, asked: Instant) {
        match grant.update {
            Update::Snapshot(snapshot) if snapshot.revision > self.snapshot.revision => {
                self.snapshot = snapshot;
            }
            Update::Steps(steps) => steps.iter().for_each(|step| self.apply_step(step)),
            Update::Snapshot(_) | Update::None => {}
        }
        if let Some(roster) = grant.roster
            && roster.number > self.roster.number
        {
            self.roster = Arc::new(roster);
            self.previous_roster = Arc::new(grant.previous.unwrap_or_default());
            self.active = false;
        }
        if grant.view != self.roster.number {
            return;
        }
        self.active |= grant.active;
        if let Some(length) = grant.lease {
            self.lease_until = self.lease_until.max(asked + length);
        }
    }

    /// Takes the next step of the configuration; any other is passed over.
    fn apply_step(&mut self, step: &Step) {
        if step.revision != self.snapshot.revision.next() {
            return;
        }
        let next = match lang::parse(&step.line) {
            Ok(Statement::Change(change)) => self.snapshot.apply(&change),
            Ok(_) => return,
            Err(why) => Err(why),
        };
        // What was accepted at control is accepted here: both apply the same to the same.
        debug_assert!(next.is_ok(), "an accepted change applies: {next:?}");
        if let Ok(next) = next {
            self.snapshot = Arc::new(next);
        }
    }

    /// The view to act under, if there is one at `now`.
    #[must_use]
    pub fn usable_roster(&self, now: Instant) -> Option<&Arc<Roster>> {
        let holds =
            self.active && !self.stopped && now < self.lease_until && self.roster.has(&self.member);
        holds.then_some(&self.roster)
    }

    /// Whether the newest view is held but not active yet.
    #[must_use]
    pub fn is_changing(&self) -> bool {
        !self.active
    }

    /// Whether a view to act under may come soon: the view is changing and the lease runs.
    #[must_use]
    pub fn awaits_activation(&self, now: Instant) -> bool {
        !self.active && now < self.lease_until
    }

    /// Whether every shard that this entry keeps is whole; the leader is told with each renewal.
    pub fn set_shards_complete(&mut self, whole: bool) {
        self.shards_complete = whole;
    }

    /// Tells the leader from now on that this entry is stopping.
    pub fn start_leaving(&mut self) {
        self.member.leaving = true;
    }

    /// Acts no more, and tells the leader so: its lease need not be waited out.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// This entry.
    #[must_use]
    pub fn get_member(&self) -> &Member {
        &self.member
    }

    /// The newest view, active or not.
    #[must_use]
    pub fn get_roster(&self) -> &Arc<Roster> {
        &self.roster
    }

    /// The view before the newest.
    #[must_use]
    pub fn get_previous_roster(&self) -> &Arc<Roster> {
        &self.previous_roster
    }

    /// The configuration in force here.
    #[must_use]
    pub fn get_snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }
}

//! Lease handling at an entry.

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

/// The view and configuration that an entry holds, and whether its lease allows it to act.
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
    /// Creates the holder of an entry that has neither a view nor a configuration yet.
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

    /// The renewal to send to the leader now.
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

    /// Applies the leader's response to a renewal that was sent at `sent_at`.
    ///
    /// Responses may arrive in any order: an older view or revision never replaces a newer one, and
    /// the lease runs from the moment when the renewal was sent.
    pub fn on_grant(&mut self, grant: Grant, sent_at: Instant) {
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
        if let Some(duration) = grant.lease {
            self.lease_until = self.lease_until.max(sent_at + duration);
        }
    }

    /// Applies the step that directly follows the revision held; ignores any other.
    fn apply_step(&mut self, step: &Step) {
        if step.revision != self.snapshot.revision.next() {
            return;
        }
        let next = match lang::parse(&step.line) {
            Ok(Statement::Change(change)) => self.snapshot.apply(&change),
            Ok(_) => return,
            Err(error) => Err(error),
        };
        // The control host accepted this change on the same snapshot, so it applies here as well.
        debug_assert!(next.is_ok(), "an accepted change applies: {next:?}");
        if let Ok(next) = next {
            self.snapshot = Arc::new(next);
        }
    }

    /// The view that this entry may act under at `now`, if there is one.
    #[must_use]
    pub fn usable_roster(&self, now: Instant) -> Option<&Arc<Roster>> {
        let may_act =
            self.active && !self.stopped && now < self.lease_until && self.roster.has(&self.member);
        may_act.then_some(&self.roster)
    }

    /// Whether the newest view is not active yet.
    #[must_use]
    pub fn is_changing(&self) -> bool {
        !self.active
    }

    /// Whether this entry may be able to act soon: its lease is valid and only the activation of the
    /// newest view is missing.
    #[must_use]
    pub fn awaits_activation(&self, now: Instant) -> bool {
        !self.active && now < self.lease_until
    }

    /// Sets whether every shard stored at this entry is complete; each renewal reports it.
    pub fn set_shards_complete(&mut self, complete: bool) {
        self.shards_complete = complete;
    }

    /// Reports in each following renewal that this entry is leaving.
    pub fn start_leaving(&mut self) {
        self.member.leaving = true;
    }

    /// Stops acting and reports that in each following renewal, so that the leader need not wait for
    /// the lease to expire.
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

    /// The view before the newest one.
    #[must_use]
    pub fn get_previous_roster(&self) -> &Arc<Roster> {
        &self.previous_roster
    }

    /// The configuration in effect at this entry.
    #[must_use]
    pub fn get_snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }
}

//! Membership of the replica set: by configuration, or by request of the replicas.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::config;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::id;
use curlewlift_core::log::MemberChange;

use crate::rpc::Method;
use crate::rpc::RenewCall;

use super::replica::STEP_TIMEOUT;
use super::replica::State;

/// How long a replica sees no leader before it asks to be admitted again: several elections.
const REJOIN_DELAY: Duration = Duration::from_millis(2_500);

/// # Both kinds of membership
impl State {
    /// Admits a replica with a blank disk, if this replica leads.
    pub(super) fn admit(&mut self, host: &id::Host, disk: id::Disk) -> Result<(), Refusal> {
        self.ensure_leading()?;
        if self.gateways.is_some() {
            return self.admit_unnamed(host, disk);
        }
        self.admit_configured(host, disk)
    }

    /// Notes changes of the replica set on the timeline.
    fn note_changes(&self, changes: impl IntoIterator<Item = MemberChange>) {
        for change in changes {
            let (kind, detail) = match change {
                MemberChange::Admitted(host) => (Kind::ReplicaAdmitted, host.to_string()),
                MemberChange::Promoted(host) => (Kind::ReplicaCounts, host.to_string()),
                MemberChange::Replaced(host, disk) => {
                    (Kind::ReplicaReplaced, format!("{host} disk={disk}"))
                }
                MemberChange::Removed(host) => (Kind::ReplicaExpelled, host.to_string()),
            };
            self.timeline.note(Line::new(kind).detail(detail));
        }
    }
}

/// # Replicas whose hosts the configuration names
impl State {
    /// Admits a replica if the configuration has its host.
    fn admit_configured(&mut self, host: &id::Host, disk: id::Disk) -> Result<(), Refusal> {
        let known = self.machine.get_snapshot().hosts.get(host);
        if known.is_none_or(|known| known.role != config::Role::Control) {
            let why = format!("the configuration has no control host `{host}`");
            return Err(Refusal::new(Code::Unknown, why));
        }
        if self.replica.members().contains(host, disk) {
            return Ok(());
        }
        self.replica.admit(host, disk, self.clock.now())?;
        self.note_changes([MemberChange::Admitted(host.clone())]);
        self.process_output();
        Ok(())
    }

    /// Promotes learners that have caught up, and removes members that must go.
    pub(super) fn maintain_configured_replicas(&mut self) {
        let now = self.clock.now();
        for host in self.replica.promotable_learners() {
            if self.replica.promote(&host, now).is_ok() {
                self.note_changes([MemberChange::Promoted(host)]);
            }
        }
        let snapshot = self.machine.get_snapshot();
        let hosts = &snapshot.hosts;
        let is_configured = |host: &id::Host| {
            hosts
                .get(host)
                .is_some_and(|known| known.role == config::Role::Control)
        };
        let members = self.replica.members().0.iter();
        let regressed = self.replica.regressed();
        let is_extra = |host: &&id::Host| !is_configured(host) || self.removed.contains(*host);
        let extra = members.map(|member| &member.host).filter(is_extra);
        let to_remove: BTreeSet<_> = extra.chain(regressed).cloned().collect();
        for host in to_remove {
            let is_leader = self.replica.get_leader() == Some(&host);
            if !is_leader && self.replica.remove(&host, now).is_ok() {
                self.note_changes([MemberChange::Removed(host)]);
            }
        }
        self.process_output();
    }
}

/// # Replicas that are admitted as they ask
impl State {
    /// Admits a replica whose host is not configured.
    fn admit_unnamed(&mut self, host: &id::Host, disk: id::Disk) -> Result<(), Refusal> {
        let now = self.clock.now();
        let changes = self.maintainer.admit(&mut self.replica, host, disk, now)?;
        self.note_changes(changes);
        self.process_output();
        Ok(())
    }

    /// Promotes learners that have caught up, and removes members that must go.
    pub(super) fn maintain_unnamed_replicas(&mut self) {
        let now = self.clock.now();
        let changes = self.maintainer.maintain(&mut self.replica, now);
        self.note_changes(changes);
        self.process_output();
    }
}

/// # A replica's own membership
impl State {
    /// Asks all known replicas to be admitted, if this replica is not a member or has seen no leader for long.
    pub(super) fn join(&mut self) {
        let disk = self.replica.get_disk();
        let host = self.replica.get_host().clone();
        let may_be_removed = self.may_be_removed();
        if self.replica.members().contains(&host, disk) && !may_be_removed {
            return;
        }
        for (peer, address) in self.known_peers() {
            if peer == host {
                continue;
            }
            let client = self.client.clone();
            let call = RenewCall::Replica {
                host: host.clone(),
                disk,
            };
            tokio::task::spawn_local(async move {
                let admitted: Result<(), Refusal> = client
                    .call(address, Method::Renew, &call, STEP_TIMEOUT)
                    .await;
                if let Err(why) = admitted {
                    log::debug!("the replica at {address} did not admit this replica: {why}");
                }
            });
        }
    }

    /// Whether this replica has seen no leader for so long that the others may have removed it.
    fn may_be_removed(&mut self) -> bool {
        if self.gateways.is_none() || self.replica.get_leader().is_some() {
            self.leaderless_since = None;
            self.reported_leaderless = false;
            return false;
        }
        let now = self.clock.now();
        let since = *self.leaderless_since.get_or_insert(now);
        let is_long = now.since(since) > REJOIN_DELAY;
        if is_long && !self.reported_leaderless {
            self.reported_leaderless = true;
            let line = Line::new(Kind::LeaderMissing).detail(self.awaited());
            self.timeline.note(line);
        }
        is_long
    }

    /// What a replica without a leader waits for.
    fn awaited(&self) -> String {
        let members = self.replica.members();
        let voters: Vec<_> = members.voters().map(|voter| voter.host.as_str()).collect();
        if voters.is_empty() {
            return "waits to be admitted".to_owned();
        }
        format!("voters={} needed={}", voters.join(","), members.majority())
    }

    /// The addresses of all replicas that are configured, known by announcement, or members.
    fn known_peers(&self) -> BTreeMap<id::Host, SocketAddr> {
        let mut peers = self.peers.clone();
        let known = self.gateways.as_ref().map(|gateways| gateways.known.get());
        for host in known.into_iter().flatten() {
            if let Some(address) = self.locate(&host) {
                peers.insert(host, address);
            }
        }
        for member in &self.replica.members().0 {
            if let Some(address) = self.locate(&member.host) {
                peers.insert(member.host.clone(), address);
            }
        }
        peers
    }
}

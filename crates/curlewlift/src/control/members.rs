//! Who belongs to the replica set: as the configuration names hosts, or as replicas ask.

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

use super::replica::STEP;
use super::replica::State;

/// How long no leader is heard before a replica asks to be taken in again: several elections.
const LEFT_OUT: Duration = Duration::from_millis(2_500);

/// # Both ways
impl State {
    /// Takes in a replica with a blank disk, where this one leads.
    pub(super) fn admit(&mut self, host: &id::Host, disk: id::Disk) -> Result<(), Refusal> {
        self.leads()?;
        if self.gateways.is_some() {
            return self.admit_asking(host, disk);
        }
        self.admit_named(host, disk)
    }

    /// Says on the time line what became of the set.
    fn note_kept(&self, kept: impl IntoIterator<Item = MemberChange>) {
        for kept in kept {
            let (kind, host) = match kept {
                MemberChange::Admitted(host) => (Kind::ReplicaAdmitted, host),
                MemberChange::Promoted(host) => (Kind::ReplicaCounts, host),
                MemberChange::Removed(host) => (Kind::ReplicaExpelled, host),
            };
            self.timeline.note(Line::new(kind).detail(host));
        }
    }
}

/// # Replicas whose hosts the configuration names
impl State {
    /// Takes in a replica if the configuration names its host.
    fn admit_named(&mut self, host: &id::Host, disk: id::Disk) -> Result<(), Refusal> {
        let known = self.machine.get_snapshot().hosts.get(host);
        if known.is_none_or(|known| known.role != config::Role::Control) {
            let why = format!("the configuration has no control host `{host}`");
            return Err(Refusal::new(Code::Unknown, why));
        }
        if self.replica.members().contains(host, disk) {
            return Ok(());
        }
        self.replica.admit(host, disk, self.clock.now())?;
        self.note_kept([MemberChange::Admitted(host.clone())]);
        self.settle();
        Ok(())
    }

    /// Lets whole learners count, and takes out who is to go.
    pub(super) fn tend_named(&mut self) {
        let now = self.clock.now();
        for host in self.replica.caught_up_learners() {
            if self.replica.promote(&host, now).is_ok() {
                self.note_kept([MemberChange::Promoted(host)]);
            }
        }
        let snapshot = self.machine.get_snapshot();
        let hosts = &snapshot.hosts;
        let wanted = |host: &id::Host| {
            hosts
                .get(host)
                .is_some_and(|known| known.role == config::Role::Control)
        };
        let members = self.replica.members().0.iter();
        let regressed = self.replica.regressed();
        let is_extra = |host: &&id::Host| !wanted(host) || self.removed.contains(*host);
        let extra = members.map(|member| &member.host).filter(is_extra);
        let out: BTreeSet<_> = extra.chain(regressed).cloned().collect();
        for host in out {
            let own = self.replica.get_leader() == Some(&host);
            if !own && self.replica.remove(&host, now).is_ok() {
                self.note_kept([MemberChange::Removed(host)]);
            }
        }
        self.settle();
    }
}

/// # Replicas that are taken in as they ask
impl State {
    /// Takes in a replica that nobody has named.
    fn admit_asking(&mut self, host: &id::Host, disk: id::Disk) -> Result<(), Refusal> {
        let now = self.clock.now();
        let kept = self.upkeep.admit(&mut self.replica, host, disk, now)?;
        self.note_kept(kept);
        self.settle();
        Ok(())
    }

    /// Lets whole learners count, and takes out who is to go.
    pub(super) fn tend_asking(&mut self) {
        let now = self.clock.now();
        let kept = self.upkeep.maintain(&mut self.replica, now);
        self.note_kept(kept);
        self.settle();
    }
}

/// # A replica's own place in the set
impl State {
    /// Asks the leader to be taken in, where this replica is no member or no leader is heard.
    pub(super) fn join(&mut self) {
        let disk = self.replica.get_disk();
        let host = self.replica.get_host().clone();
        if self.replica.members().contains(&host, disk) && !self.is_left_out() {
            return;
        }
        for (peer, address) in self.peers_known() {
            if peer == host {
                continue;
            }
            let client = self.client.clone();
            let call = RenewCall::Replica {
                host: host.clone(),
                disk,
            };
            tokio::task::spawn_local(async move {
                let answer: Result<(), Refusal> =
                    client.call(address, Method::Renew, &call, STEP).await;
                if let Err(why) = answer {
                    log::debug!("the replica at {address} does not take this one in: {why}");
                }
            });
        }
    }

    /// Whether no leader has been heard for so long that others may have taken this one out.
    fn is_left_out(&mut self) -> bool {
        if self.gateways.is_none() || self.replica.get_leader().is_some() {
            self.alone = None;
            return false;
        }
        let now = self.clock.now();
        let since = *self.alone.get_or_insert(now);
        now.since(since) > LEFT_OUT
    }

    fn peers_known(&self) -> BTreeMap<id::Host, SocketAddr> {
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

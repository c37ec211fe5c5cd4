//! The state of a control replica, and what it does with the machine's outputs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::config;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::id;
use curlewlift_core::log::Body;
use curlewlift_core::log::Entry;
use curlewlift_core::log::Message;
use curlewlift_core::log::Replica;
use curlewlift_core::log::Role;
use curlewlift_core::log::Sync;
use curlewlift_core::state::Machine;
use curlewlift_core::state::Record;
use curlewlift_core::view::Grantor;
use curlewlift_core::view::Lease;
use tokio::sync::oneshot;

use crate::disk::Batch;
use crate::disk::Writer;
use crate::process::Clock;
use crate::rpc;
use crate::rpc::Method;
use crate::rpc::RenewCall;
use crate::timeline::Timeline;

/// How long a message of the log may take.
const STEP: Duration = Duration::from_millis(500);

/// Entries after which the log is replaced by a snapshot.
const COMPACT: usize = 1_000;

/// The answer to a command.
pub(super) type Answer = Result<id::Revision, Refusal>;

/// The state of a control replica; one task at a time has it.
pub(super) struct State {
    pub(super) replica: Replica,
    pub(super) machine: Machine,
    pub(super) grantor: Option<Grantor>,
    pub(super) timeline: Timeline,
    pub(super) clock: Clock,
    writer: Writer,
    client: rpc::Client,
    lease: Lease,
    address: Option<SocketAddr>,
    peers: BTreeMap<id::Host, SocketAddr>,
    learned: HashMap<id::Host, SocketAddr>,
    waiting: HashMap<id::Index, (id::Term, oneshot::Sender<Answer>)>,
    role: Role,
    proposed: id::View,
    /// Hosts whose replicas must be taken out.
    removed: BTreeSet<id::Host>,
}

/// # Making
impl State {
    pub(super) fn new(
        replica: Replica,
        writer: Writer,
        client: rpc::Client,
        timeline: Timeline,
        lease: Lease,
    ) -> Result<Self, Refusal> {
        let machine = Machine::decode(&replica.snapshot().state)?;
        Ok(Self {
            replica,
            machine,
            grantor: None,
            timeline,
            clock: Clock::start(),
            writer,
            client,
            lease,
            address: None,
            peers: BTreeMap::new(),
            learned: HashMap::new(),
            waiting: HashMap::new(),
            role: Role::Follower,
            proposed: id::View::default(),
            removed: BTreeSet::new(),
        })
    }

    pub(super) fn peers(mut self, peers: BTreeMap<id::Host, SocketAddr>) -> Self {
        self.peers = peers;
        self
    }

    pub(super) fn address(mut self, address: SocketAddr) -> Self {
        self.address = Some(address);
        self
    }

    pub(super) fn clock(mut self, clock: Clock) -> Self {
        self.clock = clock;
        self
    }
}

/// # Events
impl State {
    pub(super) fn tick(&mut self) {
        let now = self.clock.now();
        self.replica.tick(now);
        self.settle();
        self.tend();
    }

    pub(super) fn synced(&mut self, sync: Sync) {
        self.replica.synced(sync, self.clock.now());
        self.settle();
    }

    pub(super) fn receive(&mut self, message: Message, address: SocketAddr) {
        self.learned.insert(message.from.clone(), address);
        self.replica.receive(message, self.clock.now());
        self.settle();
    }

    /// Adds `record` to the log; the receiver is told once it is applied.
    pub(super) fn propose(
        &mut self,
        record: &Record,
    ) -> Result<oneshot::Receiver<Answer>, Refusal> {
        let now = self.clock.now();
        let index = self.replica.propose(record.encode(), now)?;
        let (answer, wait) = oneshot::channel();
        self.waiting
            .insert(index, (self.replica.get_term(), answer));
        self.settle();
        Ok(wait)
    }

    /// Whether this replica surely leads and knows all that was committed before.
    pub(super) fn leads(&self) -> Result<(), Refusal> {
        if self.replica.is_settled() && self.replica.hears_majority(self.clock.now()) {
            return Ok(());
        }
        let leader = self
            .replica
            .get_leader()
            .map_or("nobody that is known", id::Host::as_str);
        Err(Refusal::new(Code::NotLeader, format!("`{leader}` leads")))
    }

    /// Does what the machine asks for, until it asks for nothing.
    pub(super) fn settle(&mut self) {
        let output = self.replica.output();
        if let Some(sync) = output.sync {
            let writes = output.writes;
            self.writer.write(Batch { writes, sync });
        }
        for message in output.sends {
            self.send(message);
        }
        if let Some(snapshot) = output.install {
            match Machine::decode(&snapshot.state) {
                Ok(machine) => self.machine = machine,
                Err(why) => log::error!("a snapshot from the leader cannot be read: {why}"),
            }
        }
        for entry in output.commits {
            self.apply(&entry);
        }
        self.note_role();
    }

    fn apply(&mut self, entry: &Entry) {
        let answer = match &entry.body {
            Body::Data(data) => self.apply_record(data),
            Body::Members(members) => {
                self.removed.retain(|host| members.get(host).is_some());
                Ok(self.machine.get_snapshot().revision)
            }
            Body::Blank => Ok(self.machine.get_snapshot().revision),
        };
        if let Some((term, waiting)) = self.waiting.remove(&entry.index)
            && term == entry.term
        {
            let _ = waiting.send(answer);
        }
    }

    /// Applies a record; a host that it takes out of the configuration loses its replica too, even
    /// where the next command names the host again.
    fn apply_record(&mut self, data: &[u8]) -> Answer {
        let record = Record::decode(data).map_err(|why| Refusal::new(Code::Internal, why))?;
        let before = Arc::clone(self.machine.get_snapshot());
        let answer = self.machine.apply(&record);
        let after = &self.machine.get_snapshot().hosts;
        let gone = before.hosts.keys().filter(|host| !after.contains_key(host));
        self.removed.extend(gone.cloned());
        answer
    }

    fn send(&self, message: Message) {
        let Some(to) = self.locate(&message.to) else {
            return;
        };
        let Some(from) = self.address else { return };
        let client = self.client.clone();
        tokio::task::spawn_local(async move {
            let step = (message, from);
            let _: Result<(), Refusal> = client.call(to, Method::Step, &step, STEP).await;
        });
    }

    /// Where the control replica on `host` is reached.
    fn locate(&self, host: &id::Host) -> Option<SocketAddr> {
        let configured = self
            .machine
            .get_snapshot()
            .hosts
            .get(host)
            .map(|host| host.rpc);
        let learned = self.learned.get(host).copied();
        configured
            .or(learned)
            .or_else(|| self.peers.get(host).copied())
    }
}

/// # Leading
impl State {
    fn note_role(&mut self) {
        let role = self.replica.get_role();
        if role == self.role {
            return;
        }
        let term = self.replica.get_term();
        if role == Role::Leader {
            self.timeline
                .note(Line::new(Kind::Leads).detail(format_args!("term={term}")));
            self.grantor = Some(Grantor::new(self.lease, self.clock.now()));
        } else if self.role == Role::Leader {
            self.timeline
                .note(Line::new(Kind::Follows).detail(format_args!("term={term}")));
            self.grantor = None;
            // Whoever waits is told nothing: the command may still be committed.
            self.waiting.clear();
        }
        self.role = role;
    }

    /// What a leader looks after: the view, the learners, the log's length.
    fn tend(&mut self) {
        if self.replica.entries().len() > COMPACT {
            let state = self.machine.encode();
            self.replica.compact(state);
            self.settle();
        }
        if self.leads().is_err() {
            self.proposed = id::View::default();
            return;
        }
        self.tend_view();
        self.tend_members();
    }

    fn tend_view(&mut self) {
        let now = self.clock.now();
        let Some(grantor) = &mut self.grantor else {
            return;
        };
        if self.proposed > self.machine.get_roster().number {
            return;
        }
        let Some(roster) = grantor.next(&self.machine, now) else {
            return;
        };
        let hosts: Vec<_> = roster.members.iter().map(|m| m.host.as_str()).collect();
        let detail = format!("view={} members={}", roster.number, hosts.join(","));
        self.timeline
            .note(Line::new(Kind::ViewProposed).detail(detail));
        self.proposed = roster.number;
        let _ = self.propose(&Record::Roster(roster));
    }

    fn tend_members(&mut self) {
        let now = self.clock.now();
        for host in self.replica.whole_learners() {
            if self.replica.promote(&host, now).is_ok() {
                self.timeline
                    .note(Line::new(Kind::ReplicaCounts).detail(&host));
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
            if !own && self.replica.expel(&host, now).is_ok() {
                self.timeline
                    .note(Line::new(Kind::ReplicaExpelled).detail(&host));
            }
        }
        self.settle();
    }

    /// Takes in a replica with a blank disk, if the configuration names its host.
    pub(super) fn admit(&mut self, host: &id::Host, disk: id::Disk) -> Result<(), Refusal> {
        self.leads()?;
        let known = self.machine.get_snapshot().hosts.get(host);
        if known.is_none_or(|known| known.role != config::Role::Control) {
            let why = format!("the configuration has no control host `{host}`");
            return Err(Refusal::new(Code::Unknown, why));
        }
        if self.replica.members().has(host, disk) {
            return Ok(());
        }
        self.replica.admit(host, disk, self.clock.now())?;
        self.timeline
            .note(Line::new(Kind::ReplicaAdmitted).detail(host));
        self.settle();
        Ok(())
    }

    /// Asks the leader to be taken in, where this replica is no member.
    pub(super) fn join(&self) {
        let disk = self.replica.get_disk();
        let host = self.replica.get_host().clone();
        if self.replica.members().has(&host, disk) {
            return;
        }
        for (peer, address) in self.peers.clone() {
            if peer == host {
                continue;
            }
            let client = self.client.clone();
            let call = RenewCall::Replica {
                host: host.clone(),
                disk,
            };
            tokio::task::spawn_local(async move {
                let _: Result<(), Refusal> = client.call(address, Method::Renew, &call, STEP).await;
            });
        }
    }
}

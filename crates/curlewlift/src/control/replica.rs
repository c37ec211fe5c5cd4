//! The state of a control replica, and what it does with the log's outputs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::gateway::Grant;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::Ticket;
use curlewlift_core::id;
use curlewlift_core::log::Body;
use curlewlift_core::log::Entry;
use curlewlift_core::log::Maintainer;
use curlewlift_core::log::Message;
use curlewlift_core::log::Replica;
use curlewlift_core::log::Role;
use curlewlift_core::log::SyncId;
use curlewlift_core::state::Machine;
use curlewlift_core::state::Record;
use curlewlift_core::view::Grantor;
use curlewlift_core::view::LeaseTiming;
use rand::Rng;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::disk::Batch;
use crate::disk::Writer;
use crate::process::Clock;
use crate::rpc;
use crate::rpc::Method;
use crate::timeline::Timeline;

use super::gateways::Gateways;

/// How long a message of the log may take.
pub(super) const STEP: Duration = Duration::from_millis(500);

/// Entries after which the log is replaced by a snapshot.
const COMPACT: usize = 1_000;

/// Bytes of entries after which the log is replaced by a snapshot: some routing tables of a few
/// hundred rules, which must not fill a small host's memory.
const COMPACT_BYTES: usize = 256 << 10;

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
    pub(super) client: rpc::Client,
    lease: LeaseTiming,
    address: Option<SocketAddr>,
    pub(super) peers: BTreeMap<id::Host, SocketAddr>,
    learned: HashMap<id::Host, SocketAddr>,
    waiting: HashMap<id::Index, (id::Term, oneshot::Sender<Answer>)>,
    role: Role,
    proposed: id::View,
    /// Hosts whose replicas must be taken out.
    pub(super) removed: BTreeSet<id::Host>,
    pub(super) gateways: Option<Gateways>,
    /// What the gateways tell, while this replica leads.
    pub(super) hub: Option<Hub>,
    /// Who waits for a place at a backend server, while this replica leads.
    pub(super) places: HashMap<Ticket, oneshot::Sender<Grant>>,
    /// Wakes those who wait for a newer table or list.
    pub(super) news: Rc<Notify>,
    /// Wakes who waits for a turn to be handed a table.
    pub(super) turn: Rc<Notify>,
    /// Keeps the replica set whole, where replicas are taken in as they ask.
    pub(super) upkeep: Maintainer,
    /// Since when no leader is heard.
    pub(super) alone: Option<Instant>,
}

/// # Making
impl State {
    pub(super) fn new(
        replica: Replica,
        writer: Writer,
        client: rpc::Client,
        timeline: Timeline,
        lease: LeaseTiming,
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
            gateways: None,
            hub: None,
            places: HashMap::new(),
            news: Rc::new(Notify::new()),
            turn: Rc::new(Notify::new()),
            upkeep: Maintainer::default(),
            alone: None,
        })
    }

    pub(super) fn gateways(mut self, gateways: Option<Gateways>) -> Self {
        let wanted = gateways.as_ref().map_or(1, |gateways| gateways.replicas);
        self.upkeep = Maintainer::new(wanted);
        self.gateways = gateways;
        self
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
        self.tick_places();
        self.tick_handout();
    }

    /// Ends the writing: the journal is as it will be found.
    pub(super) fn close(&mut self) {
        self.writer.close();
    }

    pub(super) fn synced(&mut self, sync: SyncId) {
        self.replica.on_synced(sync, self.clock.now());
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
        if self.replica.has_committed_in_term() && self.replica.reaches_majority(self.clock.now()) {
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
        let output = self.replica.take_output();
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
            Body::Data(data) => self.apply_record(data, entry.term),
            Body::Members(members) => {
                self.removed.retain(|host| members.get(host).is_some());
                Ok(self.machine.get_snapshot().revision)
            }
            Body::Noop => Ok(self.machine.get_snapshot().revision),
        };
        if let Some((term, waiting)) = self.waiting.remove(&entry.index)
            && term == entry.term
        {
            let _ = waiting.send(answer);
        }
    }

    /// Applies a record; a host that it takes out of the configuration loses its replica too, even
    /// where the next command names the host again.
    fn apply_record(&mut self, data: &[u8], term: id::Term) -> Answer {
        let record = Record::decode(data).map_err(|why| Refusal::new(Code::Internal, why))?;
        let before = Arc::clone(self.machine.get_snapshot());
        let had_table = self.machine.get_publication().version > 0;
        let plans = self.machine.get_rollouts().clone();
        let answer = self.machine.apply(&record);
        match record {
            Record::Publication(_) => {
                self.take_up();
                // One of an earlier term may have been handed out by an earlier leader.
                if !had_table && term == self.replica.get_term() {
                    self.first_table();
                }
            }
            Record::RetryShares(_) | Record::Standbys(_) => self.take_up_parts(),
            Record::Rollout(step) => self.take_up_step(&step, &plans, term),
            Record::Quarantine(steps) => self.take_up_quarantine(&steps),
            Record::Evacuation(order) => self.take_up_evacuation(&order),
            Record::Command(_) | Record::Roster(_) => {}
        }
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
    pub(super) fn locate(&self, host: &id::Host) -> Option<SocketAddr> {
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
            .or_else(|| (self.gateways.as_ref()?.locate)(host))
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
            let now = self.clock.now();
            self.grantor = Some(Grantor::new(self.lease, now));
            if let Some(gateways) = &self.gateways {
                let number = rand::rng().next_u64();
                self.hub = Some(Hub::new(gateways.tuning, now).with_id(number));
                self.take_up();
                self.take_up_parts();
                self.take_up_plans(None);
                self.take_up_evacuated();
                self.take_up_quarantine(&[]);
            }
        } else if self.role == Role::Leader {
            self.timeline
                .note(Line::new(Kind::Follows).detail(format_args!("term={term}")));
            self.grantor = None;
            self.hub = None;
            self.places.clear();
            // Whoever waits is told nothing: the command may still be committed.
            self.waiting.clear();
        }
        self.role = role;
    }

    /// What a leader looks after: the view, the learners, the log's length.
    fn tend(&mut self) {
        let entries = self.replica.entries();
        let bytes = entries.iter().map(size).sum::<usize>();
        if entries.len() > COMPACT || bytes > COMPACT_BYTES {
            let state = self.machine.encode();
            self.replica.compact(state);
            self.settle();
        }
        if self.leads().is_err() {
            self.proposed = id::View::default();
            return;
        }
        if self.gateways.is_some() {
            self.tend_asking();
            self.tend_parts();
            self.tend_rollouts();
            self.tend_quarantine();
            return;
        }
        self.tend_view();
        self.tend_named();
    }

    fn tend_view(&mut self) {
        let now = self.clock.now();
        let Some(grantor) = &mut self.grantor else {
            return;
        };
        if self.proposed > self.machine.get_roster().number {
            return;
        }
        let Some(roster) = grantor.propose_roster(&self.machine, now) else {
            return;
        };
        let hosts: Vec<_> = roster.members.iter().map(|m| m.host.as_str()).collect();
        let detail = format!("view={} members={}", roster.number, hosts.join(","));
        self.timeline
            .note(Line::new(Kind::ViewProposed).detail(detail));
        self.proposed = roster.number;
        let _ = self.propose(&Record::Roster(roster));
    }
}

/// The bytes that an entry carries.
fn size(entry: &Entry) -> usize {
    match &entry.body {
        Body::Data(data) => data.len(),
        Body::Members(_) | Body::Noop => 0,
    }
}

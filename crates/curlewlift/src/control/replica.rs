//! The state of a control replica, and the processing of the log's output.

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
use curlewlift_core::order::Sequence;
use curlewlift_core::publication::Distribution;
use curlewlift_core::route::Table;
use curlewlift_core::state::Machine;
use curlewlift_core::state::Publication;
use curlewlift_core::state::Record;
use curlewlift_core::view::Grantor;
use curlewlift_core::view::LeaseTiming;
use rand::Rng;
use tokio::sync::Mutex;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::disk::Batch;
use crate::disk::Writer;
use crate::process::Clock;
use crate::rpc;
use crate::rpc::Method;
use crate::timeline::Timeline;

use super::active_table::DecodedTable;
use super::distribution::Distributor;
use super::gateways::Gateways;
use super::in_flight::KnownLimits;
use super::slots::SlotAnswer;

/// How long a message of the replicated log may take.
pub(super) const STEP_TIMEOUT: Duration = Duration::from_millis(500);

/// Entries after which the log is replaced by a snapshot.
const MAX_LOG_ENTRIES: usize = 1_000;

/// Bytes of entries after which the log is replaced by a snapshot: a few routing tables of some
/// hundred rules each, so that they do not fill a small host's memory.
const MAX_LOG_BYTES: usize = 256 << 10;

/// The result of a proposed record.
pub(super) type CommandResult = Result<id::Revision, Refusal>;

/// The state of a control replica, used by one task at a time.
pub(super) struct State {
    pub(super) replica: Replica,
    pub(super) machine: Machine,
    /// Grants the entries' leases, while this replica leads.
    pub(super) grantor: Option<Grantor>,
    pub(super) timeline: Timeline,
    pub(super) clock: Clock,
    writer: Writer,
    pub(super) client: rpc::Client,
    lease: LeaseTiming,
    address: Option<SocketAddr>,
    pub(super) peers: BTreeMap<id::Host, SocketAddr>,
    /// The addresses of replicas that have sent messages.
    learned_addresses: HashMap<id::Host, SocketAddr>,
    /// The proposers that wait for a result, by log index and with the term of the proposal.
    pending_results: HashMap<id::Index, (id::Term, oneshot::Sender<CommandResult>)>,
    role: Role,
    /// The number of the last view that this leader proposed.
    proposed_view: id::View,
    /// Hosts whose replicas must be removed from the replica set.
    pub(super) removed: BTreeSet<id::Host>,
    pub(super) gateways: Option<Gateways>,
    /// The hub that serves the gateways, while this replica leads and the active table is decoded.
    pub(super) hub: Option<Hub>,
    /// The leader's hub while it waits for the active table.
    pub(super) waiting_hub: Option<Hub>,
    /// The active table, while it is being decoded on another thread.
    pub(super) decoding: Option<Publication>,
    /// Sends the event loop tables that have been decoded.
    pub(super) decoded_tables: mpsc::UnboundedSender<DecodedTable>,
    /// The operators' orders that this replica accepts while it leads.
    pub(super) orders: Option<Sequence>,
    /// Requests that wait for a slot at a backend server, while this replica leads.
    pub(super) pending_slots: HashMap<Ticket, oneshot::Sender<SlotAnswer>>,
    /// The limits of requests in flight that were last reported to operators.
    pub(super) known_limits: KnownLimits,
    /// Wakes polls and requests that wait for a newer table or server list.
    pub(super) updates: Rc<Notify>,
    /// Gives the active routing table to gateways.
    pub(super) distributor: Rc<Distributor>,
    /// Held while a table is published: one at a time is decoded and committed.
    pub(super) publishing: Rc<Mutex<()>>,
    /// The table that is being published, decoded already.
    pub(super) prepared_table: Option<(Publication, Table)>,
    /// When tables were acknowledged to their operators, by version.
    pub(super) acknowledged_tables: BTreeMap<u64, Instant>,
    /// Maintains the replica set if replicas are admitted as they ask.
    pub(super) maintainer: Maintainer,
    /// Since when this replica has seen no leader.
    pub(super) leaderless_since: Option<Instant>,
    /// Whether it has reported that.
    pub(super) reported_leaderless: bool,
}

/// # Construction
impl State {
    pub(super) fn new(
        replica: Replica,
        writer: Writer,
        client: rpc::Client,
        timeline: Timeline,
        lease: LeaseTiming,
        decoded_tables: mpsc::UnboundedSender<DecodedTable>,
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
            learned_addresses: HashMap::new(),
            pending_results: HashMap::new(),
            role: Role::Follower,
            proposed_view: id::View::default(),
            removed: BTreeSet::new(),
            gateways: None,
            hub: None,
            waiting_hub: None,
            decoding: None,
            decoded_tables,
            orders: None,
            pending_slots: HashMap::new(),
            known_limits: KnownLimits::default(),
            updates: Rc::new(Notify::new()),
            distributor: Distributor::new(Clock::start(), Distribution::new(0.0)),
            publishing: Rc::default(),
            prepared_table: None,
            acknowledged_tables: BTreeMap::new(),
            maintainer: Maintainer::default(),
            leaderless_since: None,
            reported_leaderless: false,
        })
    }

    pub(super) fn gateways(mut self, gateways: Option<Gateways>) -> Self {
        let replicas = gateways.as_ref().map_or(1, |gateways| gateways.replicas);
        self.maintainer = Maintainer::new(replicas);
        if let Some(gateways) = &gateways {
            let slots = Distribution::new(gateways.tuning.link_bytes_per_s);
            self.distributor = Distributor::new(self.clock.clone(), slots);
            self.distributor.add_table(self.machine.get_publication());
        }
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
    /// Advances all timers.
    pub(super) fn tick(&mut self) {
        let now = self.clock.now();
        self.replica.tick(now);
        self.process_output();
        self.maintain();
        self.tick_slots();
        self.distributor.expire(now);
    }

    /// Closes the journal writer; the journal does not change after this.
    pub(super) fn close(&mut self) {
        self.writer.close();
    }

    /// Notes that the writes up to `sync` are on disk.
    pub(super) fn on_synced(&mut self, sync: SyncId) {
        self.replica.on_synced(sync, self.clock.now());
        self.process_output();
    }

    /// Processes a message of another replica, and remembers its address.
    pub(super) fn receive(&mut self, message: Message, address: SocketAddr) {
        self.learned_addresses.insert(message.from.clone(), address);
        self.replica.receive(message, self.clock.now());
        self.process_output();
    }

    /// Proposes `record` to the log; the receiver gets the result once the record is applied.
    pub(super) fn propose(
        &mut self,
        record: &Record,
    ) -> Result<oneshot::Receiver<CommandResult>, Refusal> {
        let now = self.clock.now();
        let index = self.replica.propose(record.encode(), now)?;
        let (sender, receiver) = oneshot::channel();
        self.pending_results
            .insert(index, (self.replica.get_term(), sender));
        self.process_output();
        Ok(receiver)
    }

    /// Proposes a record that this leader or the next one proposes again if it is lost; `what` names it in the log.
    pub(super) fn propose_repeatable(&mut self, record: &Record, what: &str) {
        if let Err(why) = self.propose(record) {
            log::warn!("cannot propose {what}: {why}");
        }
    }

    /// Checks that this replica is confirmed as the leader and has applied everything committed before.
    pub(super) fn ensure_leading(&self) -> Result<(), Refusal> {
        if self.replica.has_committed_in_term() && self.replica.reaches_majority(self.clock.now()) {
            return Ok(());
        }
        let leader = self
            .replica
            .get_leader()
            .map_or("unknown", id::Host::as_str);
        Err(Refusal::new(
            Code::NotLeader,
            format!("this replica is not the leader; the leader is {leader}"),
        ))
    }

    /// Processes the log's output: writes, messages, snapshots and committed entries.
    pub(super) fn process_output(&mut self) {
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
                Ok(machine) => {
                    self.machine = machine;
                    self.distributor.add_table(self.machine.get_publication());
                }
                Err(why) => log::error!("cannot decode a snapshot from the leader: {why}"),
            }
        }
        for entry in output.commits {
            self.apply(&entry);
        }
        self.update_role();
    }

    /// Applies a committed entry, and sends the result to whoever proposed it here.
    fn apply(&mut self, entry: &Entry) {
        let result = match &entry.body {
            Body::Data(data) => self.apply_record(data, entry.term),
            Body::Members(members) => {
                self.removed.retain(|host| members.get(host).is_some());
                Ok(self.machine.get_snapshot().revision)
            }
            Body::Noop => Ok(self.machine.get_snapshot().revision),
        };
        if let Some((term, sender)) = self.pending_results.remove(&entry.index)
            && term == entry.term
        {
            let _ = sender.send(result);
        }
    }

    /// Applies a record. If it removes a host from the configuration, the host's replica is removed
    /// too, even if the next command adds the host again.
    fn apply_record(&mut self, data: &[u8], term: id::Term) -> CommandResult {
        let record = Record::decode(data).map_err(|why| Refusal::new(Code::Internal, why))?;
        let before = Arc::clone(self.machine.get_snapshot());
        let had_table = self.machine.get_publication().version > 0;
        let plans = self.machine.get_rollouts().clone();
        let result = self.machine.apply(&record);
        match record {
            Record::Publication(_) => {
                self.distributor.add_table(self.machine.get_publication());
                self.apply_table();
                // An earlier leader may have distributed a table of an earlier term.
                if !had_table && term == self.replica.get_term() {
                    self.mark_first_table();
                }
            }
            Record::RetryShares(_) | Record::Standbys(_) => self.apply_shares(),
            Record::RetryBlocks(_) => self.apply_retry_blocks(),
            Record::Rollout(step) => self.apply_rollout_step(&step, &plans, term),
            Record::Quarantine(steps) => self.apply_quarantine_steps(&steps),
            Record::Evacuation(order) => self.apply_evacuation_order(&order),
            Record::StreamVersions(steps) => self.apply_stream_versions(&steps),
            Record::Command(_) | Record::Roster(_) => {}
        }
        let after = &self.machine.get_snapshot().hosts;
        let removed = before.hosts.keys().filter(|host| !after.contains_key(host));
        self.removed.extend(removed.cloned());
        result
    }

    /// Sends a message of the log; a lost message is the log's to repeat.
    fn send(&self, message: Message) {
        let Some(to) = self.locate(&message.to) else {
            return;
        };
        let Some(from) = self.address else { return };
        let client = self.client.clone();
        tokio::task::spawn_local(async move {
            let step = (message, from);
            let _: Result<(), Refusal> = client.call(to, Method::Step, &step, STEP_TIMEOUT).await;
        });
    }

    /// The address of the control replica on `host`.
    pub(super) fn locate(&self, host: &id::Host) -> Option<SocketAddr> {
        let configured = self
            .machine
            .get_snapshot()
            .hosts
            .get(host)
            .map(|host| host.rpc);
        let learned_address = self.learned_addresses.get(host).copied();
        configured
            .or(learned_address)
            .or_else(|| self.peers.get(host).copied())
            .or_else(|| (self.gateways.as_ref()?.locate)(host))
    }
}

/// # Leadership
impl State {
    /// Sets up or drops the leader's state when the role changes.
    fn update_role(&mut self) {
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
            self.orders = Some(Sequence::new(rand::rng().next_u64()));
            if let Some(gateways) = &self.gateways {
                let hub_id = rand::rng().next_u64();
                self.start_hub(Hub::new(gateways.tuning, now).with_id(hub_id));
            }
        } else if self.role == Role::Leader {
            self.timeline
                .note(Line::new(Kind::Follows).detail(format_args!("term={term}")));
            self.grantor = None;
            self.drop_hub();
            self.orders = None;
            self.pending_slots.clear();
            self.known_limits.clear();
            self.acknowledged_tables.clear();
            // Dropping the senders reports no result: the command may still be committed.
            self.pending_results.clear();
        }
        self.role = role;
    }

    /// Compacts the log; on the leader, also maintains the view, the replica set and the hub's records.
    fn maintain(&mut self) {
        let entries = self.replica.entries();
        let bytes = entries.iter().map(data_len).sum::<usize>();
        if entries.len() > MAX_LOG_ENTRIES || bytes > MAX_LOG_BYTES {
            let state = self.machine.encode();
            self.replica.compact(state);
            self.process_output();
        }
        if self.ensure_leading().is_err() {
            self.proposed_view = id::View::default();
            return;
        }
        if self.gateways.is_some() {
            self.maintain_unnamed_replicas();
            self.propose_shares();
            self.propose_rollout_steps();
            self.propose_quarantine_steps();
            self.propose_stream_versions();
            return;
        }
        self.propose_view();
        self.maintain_configured_replicas();
    }

    /// Proposes a new view if the live entries have changed.
    fn propose_view(&mut self) {
        let now = self.clock.now();
        let Some(grantor) = &mut self.grantor else {
            return;
        };
        if self.proposed_view > self.machine.get_roster().number {
            return;
        }
        let Some(roster) = grantor.propose_roster(&self.machine, now) else {
            return;
        };
        let hosts: Vec<_> = roster.members.iter().map(|m| m.host.as_str()).collect();
        let detail = format!("view={} members={}", roster.number, hosts.join(","));
        self.timeline
            .note(Line::new(Kind::ViewProposed).detail(detail));
        self.proposed_view = roster.number;
        let _ = self.propose(&Record::Roster(roster));
    }
}

/// The size of an entry's data, in bytes.
fn data_len(entry: &Entry) -> usize {
    match &entry.body {
        Body::Data(data) => data.len(),
        Body::Members(_) | Body::Noop => 0,
    }
}

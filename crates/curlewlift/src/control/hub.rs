//! The hub on the leader: applies routing tables and responds to gateways' calls.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::gateway::Poll;
use curlewlift_core::gateway::StopNotice;
use curlewlift_core::id;
use curlewlift_core::state::Publication;
use curlewlift_core::state::Record;
use rand::seq::IteratorRandom;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::rpc::HubCall;
use crate::rpc::HubReply;
use crate::rpc::TableRead;
use crate::rpc::TableRequest;

use super::active_table;
use super::replica::State;

type Shared = Rc<RefCell<State>>;

/// The interval between two checks whether all gateways have heard of a table.
const ANNOUNCEMENT_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// How long an acknowledgement waits for gateways that have heard of a table and do not have it in effect yet. They deny
/// nothing meanwhile.
const MAX_IN_EFFECT_WAIT: Duration = Duration::from_secs(1);

/// Number of tables whose acknowledgement is remembered, for the metrics.
const MAX_ACKNOWLEDGED_TABLES: usize = 64;

/// How many other hosts a gateway is told that may give it a table.
const MAX_TABLE_HOLDERS: usize = 3;

/// How long a majority may take to confirm that this replica leads: some heartbeats.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(600);

/// The interval between two checks of the confirmation.
const CONFIRMATION_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Responds to a gateway's call; a replica that does not lead names the leader instead.
pub(super) async fn respond(state: &Shared, call: HubCall) -> Result<HubReply, Refusal> {
    // Every replica accepts introductions, stop notices and draws, and gives its table; all other calls are for the leader.
    let needs_leader = !matches!(
        call,
        HubCall::Introduce(_)
            | HubCall::ChargeQuota(_)
            | HubCall::BorrowSlot(_)
            | HubCall::ReturnSlot(_)
            | HubCall::FetchTable(_)
            | HubCall::AnnounceStop(_)
    );
    if needs_leader && let Some(redirect) = redirect_unless_leading(&state.borrow()) {
        return Ok(redirect);
    }
    match call {
        HubCall::Poll(poll) => respond_to_poll(state, *poll).await,
        HubCall::RequestSlot(request) => super::slots::request_slot(state, *request).await,
        HubCall::Report(report) => super::slots::report(state, &report),
        HubCall::RelayStreams(records) => Ok(super::streams::relay(state, &records)),
        HubCall::FindStream(query) => super::streams::find(state, &query).await,
        HubCall::FetchTable(request) => Ok(give_table(state, &request).await),
        HubCall::Publish(publication) => publish(state, publication).await,
        // With many gateways, those with a replica in their process are never standbys.
        HubCall::ChargeQuota(_) => Ok(HubReply::QuotaCharged(false)),
        // Gateways with a replica in their process lend no slots either.
        HubCall::BorrowSlot(_) => Ok(HubReply::SlotLent(None)),
        HubCall::ReturnSlot(_) => Ok(HubReply::Acknowledged),
        HubCall::ReadTable { known } => read_table(state, known).await,
        HubCall::ReadOrderPosition => super::orders::position(&state.borrow()),
        HubCall::CarryOut(order, precondition) => {
            super::orders::carry_out(state, order, &precondition).await
        }
        HubCall::ReadRollout(service) => super::rollouts::read(state, &service).await,
        HubCall::ReadQuarantine => super::quarantine::read(state).await,
        HubCall::Introduce(hosts) => Ok(add_known_hosts(&state.borrow(), hosts)),
        HubCall::AnnounceStop(notice) => Ok(record_stop(&state.borrow(), notice)),
    }
}

impl State {
    /// Records in the metrics how long after their acknowledgement tables have come into effect at the gateway on `host`,
    /// which has table `in_effect` now.
    pub(super) fn record_in_effect(&mut self, host: &id::Host, in_effect: u64) {
        let now = self.clock.now();
        let hub = self.hub.as_ref();
        let former = hub.and_then(|hub| hub.get_table_leases().in_effect(host));
        // What a gateway that has just started lacked says nothing of how tables travel.
        let Some(former) = former.filter(|former| (1..in_effect).contains(former)) else {
            return;
        };
        let acknowledged = self.acknowledged_tables.range(former + 1..=in_effect);
        for (_, at) in acknowledged {
            metrics::histogram!("curlewlift_table_in_effect_after_acknowledgement_seconds")
                .record(now.since(*at).as_secs_f64());
        }
        let newest = self.machine.get_publication().version;
        if newest == in_effect && !self.acknowledged_tables.contains_key(&newest) {
            metrics::histogram!("curlewlift_table_in_effect_after_acknowledgement_seconds")
                .record(0.0);
        }
    }

    /// Notes that table `version` is acknowledged.
    fn note_acknowledged(&mut self, version: u64) {
        let now = self.clock.now();
        self.acknowledged_tables.entry(version).or_insert(now);
        while self.acknowledged_tables.len() > MAX_ACKNOWLEDGED_TABLES {
            self.acknowledged_tables.pop_first();
        }
    }

    /// Whether there is a newer table than the polling gateway has heard of.
    fn has_newer_table(&self, poll: &Poll) -> bool {
        self.machine.get_publication().version > poll.known_table
    }

    /// Whether there is an update that the polling gateway does not have yet.
    fn has_update(&mut self, poll: &Poll) -> bool {
        let is_newer = self.has_newer_table(poll);
        let hub = self.hub.as_mut();
        is_newer || hub.is_some_and(|hub| hub.has_update(poll))
    }

    /// How long the polling gateway must still wait for the time slot in which it receives large updates.
    fn bulk_delay(&mut self, poll: &Poll) -> Duration {
        let now = self.clock.now();
        let hub = self.hub.as_mut();
        let time = hub.and_then(|hub| hub.bulk_time(poll, now));
        time.map_or(Duration::ZERO, |time| time.since(now))
    }

    /// Checks that enough replicas vote for accepted orders to survive the disk losses that the deployment tolerates.
    pub(super) fn ensure_enough_replicas(&self) -> Result<(), Refusal> {
        let replicas = self.replica.members().voters().count();
        let needed = self.gateways.as_ref();
        let needed = needed.map_or(1, |gateways| gateways.replicas);
        if replicas < needed {
            let why = format!("only {replicas} control replicas vote, {needed} are needed");
            return Err(Refusal::new(Code::NotLeader, why));
        }
        Ok(())
    }

    /// Notes in the hub that this is the first table: no quota or budget can have been used before it.
    pub(super) fn mark_first_table(&mut self) {
        let now = self.clock.now();
        if let Some(hub) = &mut self.hub {
            hub.mark_first_table(now);
        }
    }
}

/// The response of a replica that is not confirmed as the leader; none if it is.
pub(super) fn redirect_unless_leading(state: &State) -> Option<HubReply> {
    if state.ensure_leading().is_ok() {
        return None;
    }
    let leader = state.replica.get_leader();
    let other = leader.filter(|leader| *leader != state.replica.get_host());
    Some(HubReply::NotLeader {
        leader: other.cloned(),
        control: member_hosts(state),
        newest_table: state.machine.get_publication().version,
    })
}

/// A chunk of the active table, or other hosts that may give it.
async fn give_table(state: &Shared, request: &TableRequest) -> HubReply {
    let distributor = Rc::clone(&state.borrow().distributor);
    if let Some(chunk) = distributor.chunk(request).await {
        return HubReply::TableChunk(chunk);
    }
    let state = state.borrow();
    let version = state.machine.get_publication().version;
    let now = state.clock.now();
    let hub = state.hub.as_ref();
    let holders = hub.map(|hub| hub.get_table_leases().holders(version, now));
    let holders = holders.into_iter().flatten().cloned();
    let holders = holders.sample(&mut rand::rng(), MAX_TABLE_HOLDERS);
    HubReply::NoTableChunk { holders }
}

/// The hosts of the control replicas.
fn member_hosts(state: &State) -> Vec<id::Host> {
    let members = state.replica.members().0.iter();
    members.map(|member| member.host.clone()).collect()
}

/// Remembers hosts that run a replica.
fn add_known_hosts(state: &State, hosts: Vec<id::Host>) -> HubReply {
    if let Some(gateways) = &state.gateways {
        gateways.known.add(hosts);
    }
    HubReply::Acknowledged
}

/// Records that a gateway stops, for the gateway in this process.
fn record_stop(state: &State, notice: StopNotice) -> HubReply {
    if let Some(gateways) = &state.gateways {
        gateways.stopping.record(notice, state.clock.now());
    }
    HubReply::Acknowledged
}

/// Responds to a poll at once if there is an update, or else when there is one or the poll times out.
async fn respond_to_poll(state: &Shared, poll: Poll) -> Result<HubReply, Refusal> {
    active_table::wait_for_hub(state).await;
    let mut has_update = on_poll(&mut state.borrow_mut(), &poll)?;
    let timeout = state
        .borrow()
        .hub
        .as_ref()
        .map(|hub| hub.poll_timeout(&poll));
    let until = Instant::now() + timeout.unwrap_or_default();
    while !has_update {
        let updates = Rc::clone(&state.borrow().updates);
        if timeout_at(until, updates.notified()).await.is_err() {
            break;
        }
        // Most updates concern few gateways: responding to all would send a thousand responses for one draining server.
        has_update = state.borrow_mut().has_update(&poll);
    }
    let delay = state.borrow_mut().bulk_delay(&poll);
    // That there is a newer table is told at once: its acknowledgement waits for that.
    if !delay.is_zero() && !state.borrow().has_newer_table(&poll) {
        let bulk_time = Instant::now() + delay;
        tokio::time::sleep_until(bulk_time.min(until)).await;
    }
    let mut state = state.borrow_mut();
    if let Some(redirect) = redirect_unless_leading(&state) {
        return Ok(redirect);
    }
    let may_send_bulk = state.bulk_delay(&poll).is_zero();
    let now = state.clock.now();
    let publication = state.machine.get_publication().clone();
    let control = member_hosts(&state);
    let host = state.replica.get_host().clone();
    let hub = state.hub.as_mut().ok_or_else(not_ready)?;
    let mut reply = if may_send_bulk {
        hub.reply(&poll, &publication, now)
    } else {
        hub.small_reply(&poll, &publication, now)
    };
    reply.control_hosts = control;
    reply.fetches_list = hub.fetcher(&host, now).as_ref() == Some(&poll.host);
    reply.leader = Some(host);
    Ok(HubReply::Update(Box::new(reply)))
}

/// Processes the reports in a poll; returns true if it can be responded to at once.
fn on_poll(state: &mut State, poll: &Poll) -> Result<bool, Refusal> {
    let now = state.clock.now();
    state.record_in_effect(&poll.host, poll.table_in_effect);
    let hub = state.hub.as_mut().ok_or_else(not_ready)?;
    hub.on_poll(poll, now);
    let fetched = poll.fetched_list.as_ref();
    let fetched = fetched.filter(|list| hub.get_server_list().version != list.version);
    if let Some(list) = fetched {
        hub.observe_gone(list, now);
        hub.set_server_list(Arc::new(list.clone()));
        state.updates.notify_waiters();
    }
    let is_new_list = fetched.is_some();
    state.grant_slots();
    Ok(is_new_list || state.has_update(poll))
}

/// The newest accepted table, confirmed by a majority. It is sent only to a caller that does not have it.
async fn read_table(state: &Shared, known: u64) -> Result<HubReply, Refusal> {
    confirm(state).await?;
    let state = state.borrow();
    let publication = state.machine.get_publication();
    let is_known = known > 0 && publication.version == known;
    let gateways = state.gateways.as_ref();
    Ok(HubReply::Table(TableRead {
        publication: (!is_known).then(|| publication.clone()),
        leader: state.replica.get_host().clone(),
        link_bytes_per_s: gateways.map_or(0.0, |gateways| gateways.tuning.link_bytes_per_s),
    }))
}

/// Waits until a majority confirms, after this call began, that this replica leads.
///
/// Its state then includes everything that was accepted before the call.
pub(super) async fn confirm(state: &Shared) -> Result<(), Refusal> {
    let called_at = state.borrow().clock.now();
    let confirmed = || state.borrow().replica.is_confirmed_since(called_at);
    let confirmation = async {
        while !confirmed() {
            tokio::time::sleep(CONFIRMATION_CHECK_INTERVAL).await;
        }
    };
    if tokio::time::timeout(CONFIRMATION_TIMEOUT, confirmation)
        .await
        .is_err()
    {
        let why = "no majority confirmed in time that this replica leads";
        return Err(Refusal::new(Code::NotLeader, why));
    }
    Ok(())
}

/// Commits a routing table, unless the active one is at least as new; returns once no gateway can take an older one for
/// the newest.
async fn publish(state: &Shared, publication: Publication) -> Result<HubReply, Refusal> {
    let version = publication.version;
    // A leader that a majority confirms has applied everything that is committed.
    let is_newer = || version > state.borrow().machine.get_publication().version;
    if is_newer() {
        let publishing = Rc::clone(&state.borrow().publishing);
        let _publishing = publishing.lock().await;
        // Another call may have published a newer one meanwhile.
        if is_newer() {
            active_table::prepare(state, &publication).await?;
            commit(state, publication).await?;
        }
    }
    let (in_touch, missing, waited) = wait_until_announced(state, version).await?;
    state.borrow_mut().note_acknowledged(version);
    state
        .borrow()
        .timeline
        .note(Line::new(Kind::TableAcknowledged).detail(format_args!(
            "number={version} gateways={in_touch} behind={missing} waited_ms={}",
            waited.as_millis()
        )));
    metrics::histogram!("curlewlift_table_acknowledge_seconds").record(waited.as_secs_f64());
    Ok(HubReply::Published)
}

async fn commit(state: &Shared, publication: Publication) -> Result<(), Refusal> {
    let version = publication.version;
    let bytes = publication.document.as_packed().len();
    let committed = {
        let mut state = state.borrow_mut();
        state.ensure_enough_replicas()?;
        state.propose(&Record::Publication(publication))?
    };
    committed.await.map_err(|_| leader_changed())??;
    let detail = format_args!("number={version} bytes={bytes}");
    let state = state.borrow();
    state
        .timeline
        .note(Line::new(Kind::Published).detail(detail));
    Ok(())
}

/// Waits until every gateway has heard of table `version` or holds no lease, and for a limited time until all that hold one
/// have the table in effect. Returns how many hold a lease, how many of them are behind, and how long it waited.
async fn wait_until_announced(
    state: &Shared,
    version: u64,
) -> Result<(usize, usize, Duration), Refusal> {
    let started_at = state.borrow().clock.now();
    loop {
        {
            let state = state.borrow();
            state.ensure_leading().map_err(|_| leader_changed())?;
            let now = state.clock.now();
            let waited = now.since(started_at);
            // A new leader's hub may still wait for the active table.
            if let Some(hub) = &state.hub {
                let leases = hub.get_table_leases();
                let (in_touch, missing) = leases.count_missing(version, now);
                let is_in_effect = missing == 0 || waited >= MAX_IN_EFFECT_WAIT;
                if is_in_effect && leases.is_announced(version, now) {
                    return Ok((in_touch, missing, waited));
                }
            }
        }
        tokio::time::sleep(ANNOUNCEMENT_CHECK_INTERVAL).await;
    }
}

fn leader_changed() -> Refusal {
    let why = "the leader changed; send the same table again to learn its result";
    Refusal::new(Code::Unreachable, why)
}

/// The refusal of a leader that has no hub or server list yet.
pub(super) fn not_ready() -> Refusal {
    Refusal::new(
        Code::NotLeader,
        "this replica has just become the leader and is not ready yet",
    )
}

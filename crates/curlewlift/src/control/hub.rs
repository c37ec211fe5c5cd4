//! The hub beside the leader: takes up routing tables, and answers what gateways ask.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::gateway::Poll;
use curlewlift_core::id;
use curlewlift_core::state::Publication;
use curlewlift_core::state::Record;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::rpc::HubCall;
use crate::rpc::HubReply;

use super::replica::State;

type Shared = Rc<RefCell<State>>;

/// How long a majority may take to confirm that this replica leads: some heartbeats.
const CONFIRM: Duration = Duration::from_millis(600);

/// Between two looks whether it has.
const LOOK: Duration = Duration::from_millis(10);

pub(super) async fn answer(state: &Shared, call: HubCall) -> Result<HubReply, Refusal> {
    // Whoever leads, all may hear of hosts that keep a replica.
    let of_leader = !matches!(call, HubCall::Introduce(_) | HubCall::Draw(_));
    if of_leader && let Some(elsewhere) = elsewhere(&state.borrow()) {
        return Ok(elsewhere);
    }
    match call {
        HubCall::Ask(question) => ask(state, *question).await,
        HubCall::Want(want) => super::places::want(state, *want).await,
        HubCall::Tell(report) => super::places::tell(state, &report),
        HubCall::Piece { host, number, from } => {
            super::handout::piece(state, &host, number, from).await
        }
        HubCall::Publish(publication) => publish(state, publication).await,
        // Of many gateways those beside a replica are no deputies.
        HubCall::Draw(_) => Ok(HubReply::Drawn(false)),
        HubCall::Read => read(state).await,
        HubCall::Rollout(order) => super::rollouts::order(state, order).await,
        HubCall::RolloutOf(service) => super::rollouts::read(state, &service).await,
        HubCall::Evacuate(order) => super::evacuations::order(state, order).await,
        HubCall::Introduce(hosts) => Ok(meet(&state.borrow(), hosts)),
    }
}

impl State {
    /// Gives the hub the table in force, and wakes those who wait for it.
    pub(super) fn take_up(&mut self) {
        let publication = self.machine.get_publication();
        let (Some(hub), Some(gateways)) = (&mut self.hub, &self.gateways) else {
            return;
        };
        if publication.version == 0 {
            return;
        }
        match (gateways.decode)(publication) {
            Ok(table) => hub.apply_table(&table, self.clock.now()),
            Err(why) => log::error!("table {} cannot be read: {why}", publication.version),
        }
        self.news.notify_waiters();
    }

    /// Whether there is something that the asker does not hold yet.
    fn has_news(&mut self, question: &Poll) -> bool {
        let is_newer = self.machine.get_publication().version > question.known_table;
        let hub = self.hub.as_mut();
        is_newer || hub.is_some_and(|hub| hub.has_update(question))
    }

    /// For how much longer the asker waits to be told what is large and new to it.
    fn until_turn(&mut self, question: &Poll) -> Duration {
        let now = self.clock.now();
        let publication = self.machine.get_publication();
        let hub = self.hub.as_mut();
        let turn = hub.and_then(|hub| hub.bulk_time(question, publication, now));
        turn.map_or(Duration::ZERO, |turn| turn.since(now))
    }

    /// Whether so many replicas count that what is accepted outlives the losses that the deployment names.
    pub(super) fn outlives_losses(&self) -> Result<(), Refusal> {
        let replicas = self.replica.members().voters().count();
        let needed = self.gateways.as_ref();
        let needed = needed.map_or(1, |gateways| gateways.replicas);
        if replicas < needed {
            let why = format!("{replicas} control replicas count, {needed} must");
            return Err(Refusal::new(Code::NotLeader, why));
        }
        Ok(())
    }

    /// Tells the hub that nobody can have used anything yet.
    pub(super) fn first_table(&mut self) {
        let now = self.clock.now();
        if let Some(hub) = &mut self.hub {
            hub.mark_first_table(now);
        }
    }
}

/// The answer of a replica that does not surely lead.
pub(super) fn elsewhere(state: &State) -> Option<HubReply> {
    if state.leads().is_ok() {
        return None;
    }
    let leader = state.replica.get_leader();
    let other = leader.filter(|leader| *leader != state.replica.get_host());
    Some(HubReply::Elsewhere {
        leader: other.cloned(),
        control: members(state),
    })
}

/// The hosts of the control replicas.
fn members(state: &State) -> Vec<id::Host> {
    let members = state.replica.members().0.iter();
    members.map(|member| member.host.clone()).collect()
}

/// Takes note of hosts that keep a replica.
fn meet(state: &State, hosts: Vec<id::Host>) -> HubReply {
    if let Some(gateways) = &state.gateways {
        gateways.known.add(hosts);
    }
    HubReply::Told
}

async fn ask(state: &Shared, question: Poll) -> Result<HubReply, Refusal> {
    let mut has_news = hear(&mut state.borrow_mut(), &question)?;
    let wait = state
        .borrow()
        .hub
        .as_ref()
        .map(|hub| hub.poll_timeout(&question));
    let until = Instant::now() + wait.unwrap_or_default();
    while !has_news {
        let news = Rc::clone(&state.borrow().news);
        if timeout_at(until, news.notified()).await.is_err() {
            break;
        }
        // Most news concern few gateways: answering all would be a thousand answers for one server that leaves.
        has_news = state.borrow_mut().has_news(&question);
    }
    let left = state.borrow_mut().until_turn(&question);
    if !left.is_zero() {
        let turn = Instant::now() + left;
        tokio::time::sleep_until(turn.min(until)).await;
    }
    let mut state = state.borrow_mut();
    if let Some(elsewhere) = elsewhere(&state) {
        return Ok(elsewhere);
    }
    let is_turn = state.until_turn(&question).is_zero();
    let now = state.clock.now();
    let publication = state.machine.get_publication().clone();
    let control = members(&state);
    let host = state.replica.get_host().clone();
    let hub = state.hub.as_mut().ok_or_else(begun)?;
    let mut reply = if is_turn {
        hub.reply(&question, &publication, now)
    } else {
        hub.small_reply(&question, &publication, now)
    };
    reply.control_hosts = control;
    reply.fetches_list = hub.fetcher(&host, now).as_ref() == Some(&question.host);
    reply.leader = Some(host);
    Ok(HubReply::News(Box::new(reply)))
}

/// Takes note of a question; true where it can be answered at once.
fn hear(state: &mut State, question: &Poll) -> Result<bool, Refusal> {
    let now = state.clock.now();
    let hub = state.hub.as_mut().ok_or_else(begun)?;
    hub.on_poll(question, now);
    let fetched = question.fetched_list.as_ref();
    let fetched = fetched.filter(|listing| hub.get_server_list().version != listing.version);
    if let Some(listing) = fetched {
        hub.set_server_list(Arc::new(listing.clone()));
        state.news.notify_waiters();
    }
    let is_taken = fetched.is_some();
    state.serve();
    Ok(is_taken || state.has_news(question))
}

/// The newest table, surely.
async fn read(state: &Shared) -> Result<HubReply, Refusal> {
    confirm(state).await?;
    let publication = state.borrow().machine.get_publication().clone();
    Ok(HubReply::Table(publication))
}

/// Waits until a majority has confirmed after the question that this replica leads: what it holds then is the
/// newest that was accepted before.
pub(super) async fn confirm(state: &Shared) -> Result<(), Refusal> {
    let asked = state.borrow().clock.now();
    let confirmed = || state.borrow().replica.is_confirmed_since(asked);
    let wait = async {
        while !confirmed() {
            tokio::time::sleep(LOOK).await;
        }
    };
    if tokio::time::timeout(CONFIRM, wait).await.is_err() {
        let why = "no majority confirms that this replica leads";
        return Err(Refusal::new(Code::NotLeader, why));
    }
    Ok(())
}

async fn publish(state: &Shared, publication: Publication) -> Result<HubReply, Refusal> {
    let number = publication.version;
    let bytes = publication.document.as_packed().len();
    let wait = {
        let mut state = state.borrow_mut();
        // Leading surely and settled, what is applied here is what is committed.
        if number <= state.machine.get_publication().version {
            return Ok(HubReply::Published);
        }
        state.outlives_losses()?;
        state.propose(&Record::Publication(publication))?
    };
    let lost = "the leader changed; send the same table again to learn what became of it";
    wait.await
        .map_err(|_| Refusal::new(Code::Unreachable, lost))??;
    state
        .borrow()
        .timeline
        .note(Line::new(Kind::Published).detail(format_args!("number={number} bytes={bytes}")));
    Ok(HubReply::Published)
}

pub(super) fn begun() -> Refusal {
    Refusal::new(Code::NotLeader, "it has only begun to lead")
}

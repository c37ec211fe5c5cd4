//! The questions and answers of each method; docs/INTERFACES.md has them as a table.

use std::time::Duration;

use curlewlift_core::claim::Claim;
use curlewlift_core::claim::Status;
use curlewlift_core::evacuation;
use curlewlift_core::fleet::Prefix;
use curlewlift_core::gateway;
use curlewlift_core::id;
use curlewlift_core::quarantine::Rejection;
use curlewlift_core::queue::Report;
use curlewlift_core::quota::Charge;
use curlewlift_core::rollout;
use curlewlift_core::state::Publication;
use curlewlift_core::unit::Tokens;
use curlewlift_core::view::Renewal;
use serde::Deserialize;
use serde::Serialize;

/// `command`: a line of the operators' language.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CommandCall {
    pub(crate) operator: id::Operator,
    pub(crate) key: String,
    pub(crate) number: u64,
    pub(crate) line: String,
}

/// `renew`: a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum RenewCall {
    /// An entry asks for its lease; the answer is a [`curlewlift_core::view::Grant`].
    Entry(Renewal),
    /// A control replica that is no member asks to be taken in; the answer is empty.
    Replica { host: id::Host, disk: id::Disk },
    /// A gateway's side; the answer is a [`HubReply`].
    Hub(HubCall),
}

/// What gateways ask the leading control replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum HubCall {
    /// What is new; answered at once where something is, else after a while.
    Ask(Box<gateway::Poll>),
    /// Wants a place at a backend server; answered once there is one, or not in time.
    Want(Box<gateway::SlotRequest>),
    /// Tells how sendings ended.
    Tell(gateway::Report),
    /// Wants the piece of table `number` that follows its first `from` bytes; with its whole length, says
    /// that it has got it.
    Piece {
        host: id::Host,
        number: u64,
        from: usize,
    },
    /// Asks a deputy to let a request in that counts so much.
    Draw(Charge),
    /// Tells of hosts that keep a control replica.
    Introduce(Vec<id::Host>),
    /// Puts a routing table in force.
    Publish(Publication),
    /// Asks for the routing table in force.
    Read,
    /// Gives an order to move a service to another version.
    Rollout(rollout::Order),
    /// Asks how far the last roll-out of a service has come.
    RolloutOf(id::Service),
    /// Gives an order to evacuate a data hall, or to end that.
    Evacuate(evacuation::Order),
}

/// The answers to [`HubCall`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum HubReply {
    /// What is new.
    News(Box<gateway::Reply>),
    /// A place at a backend server; none where there was none in time.
    Place(Option<gateway::Grant>),
    /// The request's customer has used up its allowance; there is enough after this time.
    Beyond(Duration),
    /// Servers ended under such a request, and it gets none.
    Withheld(Rejection),
    /// The request was sent before, and no further sending is left.
    NoRetry,
    /// Whether the deputy lets the request in, and has counted it.
    Drawn(bool),
    /// It was taken note of.
    Told,
    /// A piece of the table in force; none while it is the turn of others.
    Piece(Option<gateway::Chunk>),
    /// It is in force, or a higher number is.
    Published,
    /// The table in force; number 0 where there is none.
    Table(Publication),
    /// The order was taken, now or before.
    Ordered,
    /// The target of the last roll-out, and how far it has come; none where none was ordered.
    Rollout(Option<(rollout::Version, rollout::Phase)>),
    /// Who answers does not lead; that host may, and these keep control replicas.
    Elsewhere {
        leader: Option<id::Host>,
        control: Vec<id::Host>,
    },
}

/// `claim`: what concerns request keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ClaimCall {
    /// Claims a key.
    Claim(Claim),
    /// Tells what became of it.
    End {
        key: id::Key,
        ticket: id::Ticket,
        holder: id::Host,
        fate: Status,
    },
    /// Asks for a copy of a shard.
    Copy { shard: id::Shard, view: id::View },
    /// Asks what is kept of a key.
    Look { key: id::Key },
    /// Asks the holder for the answer to a body, by the body's hash (0 for any), from a byte on;
    /// waits a while for more.
    Fetch { key: id::Key, body: u64, from: u64 },
}

/// The answers to [`ClaimCall`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ClaimReply {
    Claimed(curlewlift_core::claim::Response),
    Done,
    Copy(curlewlift_core::claim::CopyResponse),
    Looked(Option<curlewlift_core::claim::Record>),
    Piece(Option<Piece>),
}

/// A part of a kept answer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Piece {
    /// The answer's HTTP status and headers, once they are there.
    pub(crate) head: Option<(u16, Vec<(String, String)>)>,
    /// Its bytes from the place that was asked for.
    pub(crate) bytes: Vec<u8>,
    /// What became of it, once it has ended and `bytes` reach its end.
    pub(crate) fate: Option<Status>,
}

/// `ask`: what concerns a service's queue.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum AskCall {
    /// Wants a server; the answer is an [`Asked`], once it is the request's turn.
    Ask {
        view: id::View,
        service: id::Service,
        key: id::Key,
        ticket: id::Ticket,
        host: id::Host,
        customer: id::Customer,
        prompt: Tokens,
        output: Tokens,
        prefixes: Vec<Prefix>,
        attempt: u8,
        /// Until its deadline.
        left: Duration,
        /// The server on which it runs already, told to a new owner.
        running: Option<id::Server>,
    },
    /// Reports of a request that was granted; the answer is empty.
    Report {
        service: id::Service,
        ticket: id::Ticket,
        host: id::Host,
        report: Report,
    },
    /// The caller has gone; the answer is empty.
    Cancel {
        service: id::Service,
        ticket: id::Ticket,
        host: id::Host,
    },
}

/// The owner's word.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Asked {
    pub(crate) server: id::Server,
}

//! The request and reply types of each method; docs/INTERFACES.md lists them in a table.

use std::time::Duration;

use curlewlift_core::claim::Claim;
use curlewlift_core::claim::Status;
use curlewlift_core::fleet::Prefix;
use curlewlift_core::gateway;
use curlewlift_core::id;
use curlewlift_core::order;
use curlewlift_core::publication;
use curlewlift_core::publication::PayloadId;
use curlewlift_core::quarantine;
use curlewlift_core::quarantine::Rejection;
use curlewlift_core::queue::Report;
use curlewlift_core::quota::Charge;
use curlewlift_core::rollout;
use curlewlift_core::state::Publication;
use curlewlift_core::stream;
use curlewlift_core::unit::Tokens;
use curlewlift_core::view::Renewal;
use serde::Deserialize;
use serde::Serialize;

/// Request of `command`: a line of the operators' language.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CommandCall {
    pub(crate) operator: id::Operator,
    pub(crate) key: String,
    pub(crate) number: u64,
    pub(crate) line: String,
}

/// Request of `renew`: heartbeats of entries and replicas, and calls of gateways.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum RenewCall {
    /// An entry renews its lease; the reply is a [`curlewlift_core::view::Grant`].
    Entry(Renewal),
    /// A control replica that is not yet a member asks to be admitted; the reply is empty.
    Replica { host: id::Host, disk: id::Disk },
    /// A call of a gateway to the hub; the reply is a [`HubReply`].
    Hub(HubCall),
}

/// Calls of gateways to the hub, which is the leading control replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum HubCall {
    /// Polls for updates. The reply comes at once if there are any, otherwise after a waiting time.
    Poll(Box<gateway::Poll>),
    /// Requests a slot at a backend server. The reply comes once one is granted or the wait limit
    /// is reached.
    RequestSlot(Box<gateway::SlotRequest>),
    /// Reports how attempts ended.
    Report(gateway::Report),
    /// Asks which version began a stream that a caller takes up.
    FindStream(gateway::StreamQuery),
    /// Passes records of streams to a gateway that may reach the hub, from one that does not.
    RelayStreams(Vec<stream::Record>),
    /// Fetches a chunk of a newer routing table, from any host that has it.
    FetchTable(TableRequest),
    /// Asks a standby to admit a request and charge this amount to the quota.
    ChargeQuota(Charge),
    /// Reports hosts that run a control replica.
    Introduce(Vec<id::Host>),
    /// Publishes a routing table.
    Publish(Publication),
    /// Reads the active routing table; the caller has the one with the number `known` already.
    ReadTable { known: u64 },
    /// Reads how far the leader has come in accepting operators' orders.
    ReadOrderPosition,
    /// Carries out an operator's order if the precondition holds.
    CarryOut(order::Order, order::Precondition),
    /// Reads the phase of the last rollout of a service.
    ReadRollout(id::Service),
    /// Reads the list of requests and parts of prompts in quarantine.
    ReadQuarantine,
    /// Asks a gateway to lend a slot of its share, as the hub does not reply. The reply comes once there is one or the
    /// wait limit is reached.
    BorrowSlot(Box<gateway::SlotRequest>),
    /// Returns the borrowed slot with this number.
    ReturnSlot(u64),
    /// States that a gateway stops, so that no caller is sent to it any more.
    AnnounceStop(gateway::StopNotice),
}

/// Replies to [`HubCall`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum HubReply {
    /// Updates since the last poll.
    Update(Box<gateway::Reply>),
    /// The granted slot at a backend server.
    Slot(gateway::Grant),
    /// No slot becomes free in time. The caller should retry after this time, if the hub knows one.
    NoRoom(Option<Duration>),
    /// The request's customer has used up its quota, which suffices again after this time.
    QuotaExceeded(Duration),
    /// The request gets no slot: servers crashed under requests of its kind (quarantine).
    Rejected(Rejection),
    /// The request was attempted before, and the retry budget allows no further attempt.
    NoRetry,
    /// No server that accepts work runs a version that the request is restricted to.
    NoVersion,
    /// What is known of a stream.
    Stream(gateway::StreamAnswer),
    /// Whether the standby admits the request and has charged it to the quota.
    QuotaCharged(bool),
    /// The report or introduction was received.
    Acknowledged,
    /// A chunk of a newer table than the one in effect at the gateway.
    TableChunk(publication::Chunk),
    /// The host has no newer table, or others fetch it at present; `holders` may have it as well.
    NoTableChunk { holders: Vec<id::Host> },
    /// The published table, or one with a higher number, is active.
    Published,
    /// The active table.
    Table(TableRead),
    /// How far the leader has come in accepting operators' orders.
    OrderPosition(order::Position),
    /// The order is accepted, by this call or an earlier one.
    OrderAccepted,
    /// The lent slot: its number, and the server; none if none becomes free in time.
    SlotLent(Option<(u64, gateway::Server)>),
    /// The target and phase of the last rollout, or none if none was ordered.
    Rollout(Option<(rollout::Version, rollout::Phase)>),
    /// The list of requests and parts of prompts in quarantine.
    Quarantine(Box<quarantine::List>),
    /// This process does not lead. `leader` may be the leader; the hosts in `control` run control
    /// replicas; `newest_table` is the newest routing table that it knows to be committed.
    NotLeader {
        leader: Option<id::Host>,
        control: Vec<id::Host>,
        newest_table: u64,
    },
}

/// The active routing table, as its leader confirms it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TableRead {
    /// The table, with number 0 if there is none; `None` if the caller has it already.
    pub(crate) publication: Option<Publication>,
    /// The leader.
    pub(crate) leader: id::Host,
    /// The rate of the leader's link in bytes per second; 0 if it is unknown.
    pub(crate) link_bytes_per_s: f64,
}

/// A gateway's request for a chunk of a newer routing table than the one in effect there.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TableRequest {
    pub(crate) host: id::Host,
    pub(crate) in_effect: u64,
    /// The payload that it has received in part.
    pub(crate) partial: Option<PayloadId>,
    /// The number of bytes of it that it has received.
    pub(crate) from: usize,
}

/// Request of `claim`: calls about request keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ClaimCall {
    /// Claims a key.
    Claim(Claim),
    /// Records how the request with the key ended.
    RecordEnd {
        key: id::Key,
        ticket: id::Ticket,
        holder: id::Host,
        status: Status,
    },
    /// Copies a shard.
    CopyShard { shard: id::Shard, view: id::View },
    /// Looks up the record of a key.
    Lookup { key: id::Key },
    /// Fetches from the holder the stored response to the body with this hash (0 for any body),
    /// starting at byte `from`. Waits a limited time for further bytes.
    FetchResponse { key: id::Key, body: u64, from: u64 },
}

/// Replies to [`ClaimCall`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ClaimReply {
    Claimed(curlewlift_core::claim::Response),
    EndRecorded,
    ShardCopy(curlewlift_core::claim::CopyResponse),
    Found(Option<curlewlift_core::claim::Record>),
    ResponseChunk(Option<ResponseChunk>),
}

/// A range of bytes of a stored response.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ResponseChunk {
    /// HTTP status and headers of the response, once they have arrived.
    pub(crate) head: Option<(u16, Vec<(String, String)>)>,
    /// The bytes that are available from the requested offset on.
    pub(crate) bytes: Vec<u8>,
    /// How the request ended, once it has and `bytes` reach the end of the response.
    pub(crate) status: Option<Status>,
}

/// Request of `ask`: calls about a service's queue.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum QueueCall {
    /// Enqueues a request. The reply is a [`ServerGrant`], sent once the request is granted a slot.
    Enqueue {
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
        /// Time left until the deadline.
        time_left: Duration,
        /// The server on which the request already runs, reported to a new owner.
        running: Option<id::Server>,
    },
    /// Reports the progress or end of a granted request; the reply is empty.
    Report {
        service: id::Service,
        ticket: id::Ticket,
        host: id::Host,
        report: Report,
    },
    /// Removes a request that is no longer waited for; the reply is empty.
    Cancel {
        service: id::Service,
        ticket: id::Ticket,
        host: id::Host,
    },
}

/// The owner's reply to [`QueueCall::Enqueue`]: the server whose slot is granted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ServerGrant {
    pub(crate) server: id::Server,
}

//! The items that operators configure: customers, tiers, services, servers, hosts, operators.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::id;
use crate::unit::Bytes;
use crate::unit::Rate;
use crate::unit::Tokens;

/// A tier of requests; under overload, tiers with a higher rank number are shed first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its rank, 0 being the highest; no two tiers have the same one.
    pub rank: u8,
    /// The time within which a first token must arrive to be useful, in milliseconds; 0 where only
    /// the deadline counts.
    #[serde(default)]
    pub first_ms: u64,
}

/// A party that sends requests, and its limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// SHA-256 of the bearer key, in hexadecimal.
    pub key_hash: String,
    /// The tier of its requests.
    pub tier: id::Tier,
    /// Its weight among the customers of its tier.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The requests a second that it may send.
    #[serde(default = "default_rate")]
    pub rate: Rate,
    /// The requests that it may have open at one entry.
    #[serde(default = "default_open")]
    pub open: u32,
    /// The requests that it may have in one service's queue.
    #[serde(default = "default_waiting")]
    pub waiting: u32,
    /// The largest request body that it may send.
    #[serde(default = "default_body")]
    pub body: Bytes,
    /// The request keys of this customer that one entry stores.
    #[serde(default = "default_keys")]
    pub keys: u32,
    /// Whether its prompts may share cached prefixes with other customers'.
    #[serde(default)]
    pub shared_prefixes: bool,
}

/// A service that callers use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The model that its engines serve; none for a plain service.
    #[serde(default)]
    pub model: Option<id::Model>,
    /// The minimum of live backend servers that a drain must leave.
    #[serde(default)]
    pub floor: u32,
    /// The work that may be queued, in tokens.
    #[serde(default = "default_work")]
    pub work: Tokens,
    /// Calls that must never be retried, as `METHOD /path-prefix`.
    #[serde(default)]
    pub sole: Vec<String>,
}

/// A backend server: an engine or a plain server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The service that it serves.
    pub service: id::Service,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The data hall that it is in.
    pub hall: id::Hall,
    /// The requests that it runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// The prompt tokens a second that it is expected to process.
    #[serde(default = "default_prefill")]
    pub prefill: Rate,
    /// The tokens a second that it is expected to generate for one request.
    #[serde(default = "default_decode")]
    pub decode: Rate,
    /// Whether it checks who sends it a command.
    #[serde(default)]
    pub fenced: bool,
    /// Whether it accepts new work.
    #[serde(default)]
    pub state: State,
}

/// A host that runs one of curlewlift's processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// The process that it runs.
    pub role: Role,
    /// The data hall that it is in.
    pub hall: id::Hall,
    /// The address at which the other processes reach it.
    pub rpc: SocketAddr,
    /// Whether it may own services' queues; where no live entry may, all of them do. Entries only.
    #[serde(default = "default_owns")]
    pub owns: bool,
    /// The address at which callers reach it; entries only.
    #[serde(default)]
    pub http: Option<SocketAddr>,
    /// Whether callers are sent to it.
    #[serde(default)]
    pub state: State,
}

/// A person or program that sends commands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// SHA-256 of the operator's key, in hexadecimal.
    pub key_hash: String,
    /// What it may do.
    pub right: Right,
}

/// What an operator may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Right {
    /// Queries only.
    Read,
    /// Queries and changes.
    Write,
}

/// The process that a host runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A control replica, which holds a copy of the replicated log.
    Control,
    /// An entry, which accepts callers' requests.
    Entry,
}

/// Whether a server or host accepts new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It accepts new work.
    #[default]
    Live,
    /// It finishes its current work and accepts none that is new.
    Leaving,
    /// As leaving, and an entry's process exits once it has finished; for hosts only.
    Stopping,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Stopping => "stopping",
        })
    }
}

fn default_owns() -> bool {
    true
}

fn default_weight() -> u32 {
    1
}

fn default_rate() -> Rate {
    Rate(1_000)
}

fn default_open() -> u32 {
    1_000
}

fn default_waiting() -> u32 {
    1_000
}

fn default_body() -> Bytes {
    Bytes(4 << 20)
}

fn default_keys() -> u32 {
    10_000
}

fn default_work() -> Tokens {
    Tokens(2_000_000)
}

fn default_slots() -> u32 {
    16
}

fn default_prefill() -> Rate {
    Rate(8_000)
}

fn default_decode() -> Rate {
    Rate(40)
}

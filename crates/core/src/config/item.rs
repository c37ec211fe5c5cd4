//! What the operators set: customers, tiers, services, servers, hosts, operators.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::id;
use crate::unit::Bytes;
use crate::unit::Rate;
use crate::unit::Tokens;

/// A tier of requests; the lower the rank, the later it is shed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Place among the tiers, 0 the highest; no two tiers share one.
    pub rank: u8,
    /// Milliseconds in which a first token is of use; 0 where only the deadline counts.
    #[serde(default)]
    pub first_ms: u64,
}

/// A party that sends requests, and what it may.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// SHA-256 of the bearer key, in hexadecimal.
    pub key_hash: String,
    /// The tier of its requests.
    pub tier: id::Tier,
    /// Its share against others of its tier.
    #[serde(default = "one")]
    pub weight: u32,
    /// Requests a second that it may send.
    #[serde(default = "default_rate")]
    pub rate: Rate,
    /// Requests that it may have open at one entry.
    #[serde(default = "default_open")]
    pub open: u32,
    /// Requests that it may have waiting in one service's queue.
    #[serde(default = "default_waiting")]
    pub waiting: u32,
    /// The largest body that it may send.
    #[serde(default = "default_body")]
    pub body: Bytes,
    /// Request keys of it that one entry keeps.
    #[serde(default = "default_keys")]
    pub keys: u32,
    /// Whether its prompts may share cached prefixes with other customers'.
    #[serde(default)]
    pub shared_prefixes: bool,
}

/// What callers ask for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The model that its engines serve; none for a plain service.
    #[serde(default)]
    pub model: Option<id::Model>,
    /// Live backend servers that a drain must leave.
    #[serde(default)]
    pub floor: u32,
    /// Work that may wait, in tokens.
    #[serde(default = "default_work")]
    pub work: Tokens,
    /// Calls that may never be repeated, as `METHOD /path-prefix`.
    #[serde(default)]
    pub sole: Vec<String>,
}

/// A backend server: an engine or a plain server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The service that it serves.
    pub service: id::Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data hall that it stands in.
    pub hall: id::Hall,
    /// Requests that it runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Prompt tokens a second that it is expected to process.
    #[serde(default = "default_prefill")]
    pub prefill: Rate,
    /// Tokens a second that it is expected to generate for one request.
    #[serde(default = "default_decode")]
    pub decode: Rate,
    /// Whether it checks who gives it an order.
    #[serde(default)]
    pub fenced: bool,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: State,
}

/// A host that runs one of curlewlift's processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// What runs there.
    pub role: Role,
    /// The data hall that it stands in.
    pub hall: id::Hall,
    /// Where the other processes reach it.
    pub rpc: SocketAddr,
    /// Whether it may own services' queues; where no live entry may, all do. Entries only.
    #[serde(default = "yes")]
    pub owns: bool,
    /// Where callers reach it; entries only.
    #[serde(default)]
    pub http: Option<SocketAddr>,
    /// Whether callers are sent to it.
    #[serde(default)]
    pub state: State,
}

/// A person or program that gives commands.
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
    /// Ask.
    Read,
    /// Ask and change.
    Write,
}

/// What a host runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A replica of the log.
    Control,
    /// An entry for callers.
    Entry,
}

/// Whether a server or host takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It does.
    #[default]
    Live,
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// As leaving, and an entry's process ends once it has finished; for hosts only.
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

fn yes() -> bool {
    true
}

fn one() -> u32 {
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

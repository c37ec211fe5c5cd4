//! What gateways and hub say to each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id;
use crate::limit;
use crate::quarantine;
use crate::rollout::Policy;
use crate::state::Publication;
use crate::unit::Tokens;

use super::GrantId;
use super::MembershipUpdate;
use super::ServerList;
use super::ServerListUpdate;
use super::version::version;

/// A gateway that callers can be sent to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Gateway {
    /// Its data hall.
    pub hall: Arc<str>,
    /// Where callers reach it.
    pub callers: SocketAddr,
}

/// What is in flight at one incarnation of a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The incarnation.
    pub incarnation: Arc<str>,
    /// Requests sent there and not ended.
    pub requests: u32,
    /// Tokens of the prompts among them whose answer has not begun.
    pub prefill_tokens: Tokens,
}

/// The gateways that let requests of all in while the hub gives no word.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standbys {
    /// Tells one content from another; not an order.
    pub version: u64,
    /// Their hosts.
    pub hosts: Vec<id::Host>,
}

impl Standbys {
    /// These deputies.
    #[must_use]
    pub fn new(hosts: Vec<id::Host>) -> Self {
        let version = version(&hosts);
        Self { version, hosts }
    }
}

/// What a gateway asks and tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Poll {
    /// Its host.
    pub host: id::Host,
    /// Where callers reach it, and its data hall.
    pub gateway: Gateway,
    /// Whether it takes callers: it has a table and a list, and is not stopping.
    pub ready: bool,
    /// The number of the newest table that it knows of: it holds it, or is fetching it.
    pub known_table: u64,
    /// Whether it is told the whole list of backend servers, not its subset only.
    pub wants_whole_list: bool,
    /// The version of that, as it holds it.
    pub server_list_version: u64,
    /// The version of the roll that it holds.
    pub membership_version: u64,
    /// The version of the deputies that it knows.
    pub standbys_version: u64,
    /// The version of the policy on versions that it goes by; 0 before it has one.
    pub policy_version: u64,
    /// The last grant that it has got.
    pub last_grant: GrantId,
    /// What it has in flight.
    pub loads: Vec<Load>,
    /// The number of the hub's answer that it has got last.
    pub last_reply: u64,
    /// The version of the list of requests in quarantine that it holds.
    pub quarantine_version: u64,
    /// What it has to tell of requests under which servers ended.
    pub observations: Vec<quarantine::Observation>,
    /// What it has to tell of limits that servers name.
    pub limit_reports: limit::Reports,
    /// The hub by whose table of limits it goes, and the version of that.
    pub limits_version: (u64, u64),
    /// The whole list, where this gateway is the one that fetches it and the hub held another.
    pub fetched_list: Option<ServerList>,
}

/// What the hub answers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Its number; rises with each answer of a hub, and differs from those of other hubs.
    pub number: u64,
    /// The number that the hub drew when it began.
    pub hub_id: u64,
    /// What is new of the requests in quarantine.
    pub quarantine: Option<quarantine::Update>,
    /// What is new of the limits that servers name.
    pub limits: Option<limit::Update>,
    /// The number of the table in force.
    pub newest_table: u64,
    /// That table, where the asker does not know of it and it is small.
    pub table: Option<Publication>,
    /// What is new of the asker's subset of the list of backend servers, or all of the list, where it holds another.
    pub server_list: Option<ServerListUpdate>,
    /// The version of the whole list that the hub holds.
    pub server_list_version: u64,
    /// What is new of the gateways that live.
    pub membership: Option<MembershipUpdate>,
    /// How long the asker's next question may wait for something new.
    pub poll_timeout: Duration,
    /// The part (0 to 1) that the asker holds of the sendings past the first that gateways may do by
    /// themselves.
    pub retry_share: f64,
    /// The part (0 to 1) that it holds of what gateways may let in without the hub's word.
    pub admission_share: f64,
    /// The hosts that hold such a part, where the asker knows others.
    pub standbys: Option<Standbys>,
    /// Which versions gateways may send to by their own choice, where the asker goes by another policy.
    pub policy: Option<Policy>,
    /// What the other gateways have in flight at the servers of the asker's subset.
    pub other_loads: Vec<Load>,
    /// The hosts of the control replicas.
    pub control_hosts: Vec<id::Host>,
    /// The host that leads them.
    pub leader: Option<id::Host>,
    /// Whether the asker is the one that fetches the list for all.
    pub fetches_list: bool,
}

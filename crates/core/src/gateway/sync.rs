//! The messages by which gateways synchronize with the hub.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id;
use crate::limit;
use crate::quarantine;
use crate::rejection;
use crate::rollout::Policy;
use crate::state::Publication;
use crate::stream;
use crate::unit::Tokens;

use super::GatewayShare;
use super::GrantId;
use super::MembershipUpdate;
use super::ServerList;
use super::ServerListUpdate;
use super::SlotShare;
use super::StopNotice;
use super::content_hash::content_hash;

/// A gateway to which callers can be directed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Gateway {
    /// The data hall.
    pub hall: Arc<str>,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address at which it tunnels connections to backend servers for other gateways; `None` while it does not reach
    /// most of them itself.
    pub tunnels: Option<SocketAddr>,
    /// A random number that distinguishes its process from earlier and later ones on the same host.
    pub incarnation: u64,
}

impl Gateway {
    /// Returns the notice that this gateway stops.
    #[must_use]
    pub fn stop_notice(&self) -> StopNotice {
        StopNotice {
            callers: self.callers,
            incarnation: self.incarnation,
        }
    }
}

/// The requests in flight at one incarnation of a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The incarnation.
    pub incarnation: Arc<str>,
    /// The number of requests that were sent there and have not ended.
    pub requests: u32,
    /// The prompt tokens of those requests whose response has not begun.
    pub prefill_tokens: Tokens,
}

/// The gateways that admit requests, also those of other gateways, while the hub is unreachable.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standbys {
    /// A hash of the content; versions have no order.
    pub version: u64,
    /// The hosts of the standbys.
    pub hosts: Vec<id::Host>,
}

impl Standbys {
    /// Creates the set of standbys on `hosts`.
    #[must_use]
    pub fn new(hosts: Vec<id::Host>) -> Self {
        let version = content_hash(&hosts);
        Self { version, hosts }
    }
}

/// A gateway's poll of the hub, with its state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Poll {
    /// The gateway's host.
    pub host: id::Host,
    /// The gateway's address for callers and its data hall.
    pub gateway: Gateway,
    /// Whether it accepts callers: it has a table and a server list, and is not stopping.
    pub ready: bool,
    /// The version of the newest table that it has heard of.
    pub known_table: u64,
    /// The version of the table in effect there.
    pub table_in_effect: u64,
    /// Whether it holds no lease on the newest table, and needs a reply at once.
    pub needs_lease: bool,
    /// Whether it receives the whole server list rather than its subset.
    pub wants_whole_list: bool,
    /// The version of the server list or subset that it has.
    pub server_list_version: u64,
    /// The version of the membership that it has.
    pub membership_version: u64,
    /// The version of the standbys that it knows.
    pub standbys_version: u64,
    /// The version of the slot lenders that it knows.
    pub slot_lenders_version: u64,
    /// The version of the policy that it applies to server versions and data halls, or 0 before it
    /// has one.
    pub policy_version: u64,
    /// The last grant that it received.
    pub last_grant: GrantId,
    /// The requests that it has in flight.
    pub loads: Vec<Load>,
    /// The number of the last reply that it received from the hub.
    pub last_reply: u64,
    /// The part of all shares of retries, 0 to 1, that it gave up with that reply without having used it.
    pub given_up_unused: f64,
    /// The version of the quarantine list that it has.
    pub quarantine_version: u64,
    /// Its observations of requests under which servers crashed.
    pub observations: Vec<quarantine::Observation>,
    /// Its reports of limits that servers announced.
    pub limit_reports: limit::Reports,
    /// The hub whose limits it applies, and their version.
    pub limits_version: (u64, u64),
    /// The number of the versions at which it lets streams begin.
    pub stream_versions: u64,
    /// The whole server list, if this gateway fetches it for all and the hub had another one.
    pub fetched_list: Option<ServerList>,
    /// For how long the platform has not answered this gateway, if it fetches the server list for all.
    pub platform_silence: Duration,
}

/// The hub's reply to a poll.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The number of this reply. It rises with each reply of a hub and differs from those of other
    /// hubs.
    pub number: u64,
    /// The random number by which the hub is known.
    pub hub_id: u64,
    /// The update of the quarantine list.
    pub quarantine: Option<quarantine::Update>,
    /// The update of the limits that servers announced.
    pub limits: Option<limit::Update>,
    /// The version of the active table.
    pub newest_table: u64,
    /// For how long from the sending of the poll no newer table is acknowledged without the gateway's knowledge.
    pub table_lease: Duration,
    /// The active table, if the gateway does not know it and it is small.
    pub table: Option<Publication>,
    /// The update of the gateway's server list or subset, if it has another one than the hub.
    pub server_list: Option<ServerListUpdate>,
    /// The version of the hub's whole server list.
    pub server_list_version: u64,
    /// The update of the gateway membership.
    pub membership: Option<MembershipUpdate>,
    /// The addresses for callers of the gateways that may still send callers to this one, if it is not ready.
    pub unaware: Vec<SocketAddr>,
    /// How long the hub may hold the gateway's next poll until there is an update.
    pub poll_timeout: Duration,
    /// The gateway's share, 0 to 1, of the retries that gateways may send without the hub.
    pub retry_share: GatewayShare,
    /// The gateway's share of the slots of every service, which it may use without the hub.
    pub slot_share: Option<SlotShare>,
    /// The gateways that lend slots of their shares, if the gateway knows others.
    pub slot_lenders: Option<Standbys>,
    /// The gateway's share, 0 to 1, of the requests that gateways may admit without the hub.
    pub admission_share: f64,
    /// The standbys, if the gateway knows others.
    pub standbys: Option<Standbys>,
    /// Which server versions and data halls gateways may send to by local decision, if the gateway
    /// applies another policy.
    pub policy: Option<Policy>,
    /// The versions at which streams may begin, if the gateway has others.
    pub stream_versions: Option<stream::Published>,
    /// Copies of records of streams that began at other gateways.
    pub stream_copies: Vec<stream::Record>,
    /// How many requests a second each server of a service may reject before it fails, for services with such servers.
    pub rejection_limits: Vec<(id::Service, rejection::Limit)>,
    /// The requests that other gateways have in flight at the servers of this gateway's subset.
    pub other_loads: Vec<Load>,
    /// The hosts of the control replicas.
    pub control_hosts: Vec<id::Host>,
    /// The host of the leading control replica.
    pub leader: Option<id::Host>,
    /// Whether this gateway fetches the server list for all.
    pub fetches_list: bool,
}

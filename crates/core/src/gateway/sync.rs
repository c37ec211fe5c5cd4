//! What gateways and hub say to each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id;
use crate::quota::Level;
use crate::unit::Tokens;

use super::Listing;
use super::Mark;

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
    pub reading: Tokens,
}

/// The gateways that live.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roll {
    /// Tells one content from another; not an order.
    pub version: u64,
    /// Those that take callers.
    pub gateways: Vec<Gateway>,
}

/// What a gateway asks and tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Question {
    /// Its host.
    pub host: id::Host,
    /// Drawn at its start.
    pub incarnation: u64,
    /// Where callers reach it, and its data hall.
    pub gateway: Gateway,
    /// Whether it takes callers: it has a table and a list, and is not stopping.
    pub ready: bool,
    /// The number of the table that it holds.
    pub table: u64,
    /// The version of the list that it holds.
    pub listing: u64,
    /// The version of the roll that it holds.
    pub roll: u64,
    /// The last grant that it has got.
    pub mark: Mark,
    /// What it has in flight.
    pub loads: Vec<Load>,
    /// What it let in since the last report that was taken, by customer.
    pub spent: Vec<(id::Customer, u64)>,
    /// The time in which it let that in: since the hub's last word.
    pub spent_within: Duration,
    /// What it last heard of the allowances, for a hub that has only begun.
    pub levels: Vec<Level>,
    /// The list as it was last fetched here, where this gateway is the one that fetches it.
    pub fetched: Option<Listing>,
}

/// What the hub answers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The document of a newer table, and its number.
    pub table: Option<(u64, String)>,
    /// Another list of backend servers.
    pub listing: Option<Listing>,
    /// The version of the list that the hub holds.
    pub held: u64,
    /// Another roll of the gateways.
    pub roll: Option<Roll>,
    /// How many gateways there are, to share an allowance among them.
    pub count: u32,
    /// What the other gateways have in flight.
    pub loads: Vec<Load>,
    /// What is left of the allowances.
    pub levels: Vec<Level>,
    /// The hosts of the control replicas.
    pub control: Vec<id::Host>,
    /// The host that leads them.
    pub leader: Option<id::Host>,
    /// Whether the asker is the one that fetches the list for all.
    pub fetches: bool,
}

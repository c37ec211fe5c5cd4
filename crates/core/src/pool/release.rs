//! What the end of a granted request tells about its server and its customer.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id;

/// The load that a server stated in the head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// The requests that run.
    pub running: u32,
    /// The requests that wait for a slot.
    pub waiting: u32,
    /// The number of slots; `None` if the server did not state it.
    pub slots: Option<u32>,
    /// How long work takes at the moment, relative to the usual; `None` if the server did not state it.
    pub relative_time: Option<f64>,
}

impl ReportedLoad {
    /// The requests that run or wait.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// The end of a request to which the hub had granted a slot, as the hub learns of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Release {
    /// The incarnation of the server.
    pub incarnation: Arc<str>,
    /// The customer, if the request has one.
    pub customer: Option<id::Customer>,
    /// From the grant until the hub learned of the end.
    pub held: Duration,
    /// From sending the request to the end of the response, at the gateway; zero if it was not sent.
    pub server_time: Duration,
    /// The load that the server stated in the head of its response.
    pub load: Option<ReportedLoad>,
}

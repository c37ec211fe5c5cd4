//! Limit reports that gateways send to the hub.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::GrantId;
use crate::gateway::Server;
use crate::id;
use crate::rejection;

use super::Rate;

/// Identifies one incarnation of a backend server.
///
/// Limits belong to an incarnation: a late report about an earlier one does not concern its successor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The server's service.
    pub service: id::Service,
    /// The server's name, the same in all its incarnations.
    pub name: Arc<str>,
    /// The incarnation.
    pub incarnation: Arc<str>,
}

impl Key {
    /// Returns the key of a server's current incarnation.
    #[must_use]
    pub fn from_server(server: &Server) -> Self {
        Self {
            service: server.service.clone(),
            name: Arc::clone(&server.name),
            incarnation: Arc::clone(&server.incarnation),
        }
    }
}

/// What a response said about its server's limit, as reported by a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Increases with each report of a gateway.
    pub number: u64,
    /// The server.
    pub key: Key,
    /// The announced rate; `None` if the response announced no limit.
    pub rate: Option<Rate>,
    /// The grant that the request was sent under; the default, which matches no hub, if there was none.
    pub grant_id: GrantId,
}

/// All reports of a gateway that its hub has not acknowledged yet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Reports {
    /// Random, generated when the gateway starts; report numbers start over with it.
    pub incarnation: u64,
    /// The reports, in any order.
    pub reports: Vec<Report>,
    /// What the gateway knows of servers that fail when they reject too many requests.
    pub rejections: Vec<rejection::Report>,
    /// The limits on rejections that the last hub has announced, for the next one.
    pub rejection_limits: Vec<(id::Service, rejection::Limit)>,
}

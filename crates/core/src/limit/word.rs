//! What gateways tell the hub of the limits that servers name.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::GrantId;
use crate::gateway::Server;
use crate::id;

use super::Rate;

/// A life of a backend server: another one owes nothing to it, and what is told late of it does not concern the other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Its service.
    pub service: id::Service,
    /// What the server calls itself in any of its lives.
    pub name: Arc<str>,
    /// The incarnation.
    pub incarnation: Arc<str>,
}

impl Key {
    /// That of a server.
    #[must_use]
    pub fn of(server: &Server) -> Self {
        Self {
            service: server.service.clone(),
            name: Arc::clone(&server.name),
            incarnation: Arc::clone(&server.incarnation),
        }
    }
}

/// What an answer said of its server's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// Rises with each word of a gateway.
    pub number: u64,
    /// The server.
    pub key: Key,
    /// The rate that it named; none where it named none.
    pub rate: Option<Rate>,
    /// The hub's grant by which the request was sent; none of this hub's where it was not.
    pub mark: GrantId,
}

/// What a gateway has to tell that its hub has not acknowledged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Words {
    /// Drawn when the gateway began: its numbers begin anew with it.
    pub life: u64,
    /// The words, in any order.
    pub words: Vec<Word>,
}

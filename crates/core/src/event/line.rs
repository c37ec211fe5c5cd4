//! One event of one process.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::id;

use super::Kind;
use super::Stamp;

/// One event; it never contains a customer's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// When it happened, by the hybrid clock.
    pub stamp: Stamp,
    /// The host on which it happened.
    pub host: String,
    /// What happened.
    pub kind: Kind,
    /// The request that it is about.
    pub key: Option<id::Key>,
    /// The customer that it is about.
    pub customer: Option<id::Customer>,
    /// The backend server that it is about.
    pub server: Option<id::Server>,
    /// Further details, for people to read.
    pub detail: String,
}

/// # Builder methods
impl Line {
    /// An event of `kind`; its host and stamp are set when it is recorded.
    #[must_use]
    pub fn new(kind: Kind) -> Self {
        Self {
            stamp: Stamp(0),
            host: String::new(),
            kind,
            key: None,
            customer: None,
            server: None,
            detail: String::new(),
        }
    }

    /// Sets the request.
    #[must_use]
    pub fn key(mut self, key: id::Key) -> Self {
        self.key = Some(key);
        self
    }

    /// Sets the customer.
    #[must_use]
    pub fn customer(mut self, customer: &id::Customer) -> Self {
        self.customer = Some(customer.clone());
        self
    }

    /// Sets the backend server.
    #[must_use]
    pub fn server(mut self, server: &id::Server) -> Self {
        self.server = Some(server.clone());
        self
    }

    /// Sets the detail.
    #[must_use]
    pub fn detail(mut self, detail: impl fmt::Display) -> Self {
        self.detail = detail.to_string();
        self
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} {} {}",
            self.stamp,
            self.host,
            self.kind.number(),
            self.kind.name()
        )?;
        if let Some(key) = self.key {
            write!(f, " key={key}")?;
        }
        if let Some(customer) = &self.customer {
            write!(f, " customer={customer}")?;
        }
        if let Some(server) = &self.server {
            write!(f, " server={server}")?;
        }
        if !self.detail.is_empty() {
            write!(f, " {}", self.detail)?;
        }
        Ok(())
    }
}

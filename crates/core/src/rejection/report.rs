//! A gateway's report on the rejections of a server.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id;

use super::Limit;

/// What a gateway knows of a server that has announced a limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The service.
    pub service: id::Service,
    /// The incarnation.
    pub incarnation: Arc<str>,
    /// The limit that its last response announced; `None` if that announced none any more.
    pub limit: Option<Limit>,
    /// The age of that response.
    pub age: Duration,
    /// How many of the gateway's requests in flight there it has begun.
    pub begun: u32,
    /// How many requests of the gateway it has rejected within the last second.
    pub rejected: u32,
}

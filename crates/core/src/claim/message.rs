//! Messages between entries about claims.

use serde::Deserialize;
use serde::Serialize;

use crate::id;

use super::Record;

/// A request to claim a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The view from which the shard's replicas were determined.
    pub view: id::View,
    /// The key.
    pub key: id::Key,
    /// The record to store if the claim is granted.
    pub record: Record,
    /// The view when the caller generated the key, from the stamp of an address response; `None` if
    /// the caller sent none.
    pub stamp: Option<id::View>,
    /// Whether the request must never be executed twice.
    pub sole: bool,
}

/// A replica's response to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The key belongs to the claimer at this replica.
    Granted,
    /// The key was claimed before.
    AlreadyClaimed(Record),
    /// The key was claimed before for a request with another body, path or method.
    BodyMismatch,
    /// The replica has another view; claim again under that view.
    ViewMismatch(id::View),
    /// The replica is still waiting for a copy of the shard; claim again soon.
    Filling,
    /// Records of this shard were lost after the key may have been generated: its request may have
    /// run already.
    RecordsLost,
    /// The key is so old that its record may have expired.
    KeyTooOld,
    /// The replica has reached its maximum number of records.
    TableFull,
}

//! What is asked of a table, and what it answers.

use serde::Deserialize;
use serde::Serialize;

use crate::id;

use super::Record;

/// A claim of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The view under which the shard's replicas were chosen.
    pub view: id::View,
    /// The key.
    pub key: id::Key,
    /// Who claims it and for what.
    pub record: Record,
    /// When the caller drew the key, by a stamp of an address answer; none where it has none.
    pub stamp: Option<id::View>,
    /// Whether the request may never be repeated.
    pub sole: bool,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The key is the claimer's, at this replica.
    Granted,
    /// The key was claimed before.
    AlreadyClaimed(Record),
    /// The key was claimed before with another body.
    BodyMismatch,
    /// The replica holds another view; ask again under it.
    ViewMismatch(id::View),
    /// The replica is being filled; ask again soon.
    Filling,
    /// Records of this shard were lost while this key may have been in use: it may have run.
    RecordsLost,
    /// The key was drawn so long ago that its record may have been dropped.
    KeyTooOld,
    /// The replica keeps as many keys as it may.
    TableFull,
}

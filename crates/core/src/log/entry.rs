//! Entries of the log.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Index;
use crate::id::Term;

use super::Members;

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// No content: the first entry of a leader's term.
    #[serde(rename = "Blank")]
    Noop,
    /// A command for the state machine.
    Data(#[serde(with = "super::bytes")] Vec<u8>),
    /// A new set of replicas, in effect as soon as the entry is in the log, committed or not.
    Members(Members),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that created it.
    pub term: Term,
    /// Its index in the log.
    pub index: Index,
    /// Its content.
    pub body: Body,
}

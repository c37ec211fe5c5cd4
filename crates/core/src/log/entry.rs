//! One entry of the log.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Index;
use crate::id::Term;

use super::Members;

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Nothing: the first entry of a leader's term.
    #[serde(rename = "Blank")]
    Noop,
    /// A command of the machine above the log.
    Data(#[serde(with = "super::bytes")] Vec<u8>),
    /// A new set of replicas, in force as soon as it stands in the log.
    Members(Members),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that wrote it.
    pub term: Term,
    /// Its place.
    pub index: Index,
    /// What it carries.
    pub body: Body,
}

//! What the log carries for the machine.

use serde::Deserialize;
use serde::Serialize;

use crate::evacuation;
use crate::gateway::Shares;
use crate::id;
use crate::quarantine;
use crate::rollout;
use crate::view::Roster;

use super::Document;

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Who gives it.
    pub operator: id::Operator,
    /// Its number, chosen by the operator; the same number again is the same command.
    pub number: u64,
    /// The line, in the operators' language.
    pub line: String,
}

/// A routing table as it was published: one whole document under a rising number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    /// Its number; the highest is in force.
    pub number: u64,
    /// The document as it was sent, kept to the byte.
    pub document: Document,
}

/// What one entry of the log carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A command.
    Command(Command),
    /// A new view of the entries.
    Roster(Roster),
    /// A routing table.
    Publication(Publication),
    /// Which gateways hold a part of the sendings past the first that they may do by themselves.
    #[serde(rename = "Parts")]
    Shares(Shares),
    /// Which gateways hold a part of what may be let in without the hub's word.
    #[serde(rename = "Deputies")]
    Standbys(Shares),
    /// A step of a roll-out.
    Rollout(rollout::Step),
    /// Steps of the list of requests under which servers ended.
    Quarantine(Vec<quarantine::Step>),
    /// An order to evacuate a data hall, or to end that.
    Evacuation(evacuation::Order),
}

impl Record {
    /// The record as the log carries it.
    ///
    /// # Panics
    ///
    /// Never: every field has a JSON form.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record has a JSON form")
    }

    /// Reads what [`Record::encode`] wrote.
    ///
    /// # Errors
    ///
    /// The reader's own words, where the bytes are not a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        serde_json::from_slice(bytes).map_err(|why| why.to_string())
    }
}

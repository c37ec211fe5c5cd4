//! The records of the log that the state machine applies.

use serde::Deserialize;
use serde::Serialize;

use crate::evacuation;
use crate::gateway::RetryBlocks;
use crate::gateway::Shares;
use crate::id;
use crate::quarantine;
use crate::rollout;
use crate::stream;
use crate::view::Roster;

use super::Document;

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The operator who sends it.
    pub operator: id::Operator,
    /// Its number, chosen by the operator; a command that is sent again has the same number.
    pub number: u64,
    /// The text of the command, in the operators' language.
    pub line: String,
}

/// A published routing table: one complete document under an increasing version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    /// Its version; the table with the highest one is in effect.
    #[serde(rename = "number")]
    pub version: u64,
    /// The document as it was sent, byte for byte.
    pub document: Document,
}

/// The content of one entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A command of an operator.
    Command(Command),
    /// A new view of the entries.
    Roster(Roster),
    /// A routing table.
    Publication(Publication),
    /// The gateways that hold a share of the retries, which they may use without the hub.
    #[serde(rename = "Parts")]
    RetryShares(Shares),
    /// The blocks of retries that hubs have drawn.
    RetryBlocks(RetryBlocks),
    /// The standby gateways: those that hold a share of what may be admitted without the hub.
    #[serde(rename = "Deputies")]
    Standbys(Shares),
    /// A step of a roll-out.
    Rollout(rollout::Step),
    /// Changes of the quarantine list: requests under which servers crashed.
    Quarantine(Vec<quarantine::Step>),
    /// An order to start or to end the evacuation of a data hall.
    Evacuation(evacuation::Order),
    /// Changes of the versions at which streams may begin.
    StreamVersions(Vec<stream::Step>),
}

impl Record {
    /// Encodes the record for the log.
    ///
    /// # Panics
    ///
    /// Never: every field has a JSON form.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record has a JSON form")
    }

    /// Decodes the result of [`Record::encode`].
    ///
    /// # Errors
    ///
    /// The message of the JSON parser, if the bytes are not an encoded record.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        serde_json::from_slice(bytes).map_err(|error| error.to_string())
    }
}

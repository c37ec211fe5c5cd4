//! Changes of the configuration.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use super::State;

/// The kind of item that a change is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// [`super::Customer`].
    Customer,
    /// [`super::Host`].
    Host,
    /// [`super::Operator`].
    Operator,
    /// [`super::Server`].
    Server,
    /// [`super::Service`].
    Service,
    /// [`super::Tier`].
    Tier,
}

impl Kind {
    /// Every kind, in alphabetical order.
    pub const ALL: &[Self] = &[
        Self::Customer,
        Self::Host,
        Self::Operator,
        Self::Server,
        Self::Service,
        Self::Tier,
    ];

    /// The kind's name in commands and messages.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Customer => "customer",
            Self::Host => "host",
            Self::Operator => "operator",
            Self::Server => "server",
            Self::Service => "service",
            Self::Tier => "tier",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.iter().find(|kind| kind.name() == text);
        found.copied().ok_or_else(|| {
            let names: Vec<_> = Self::ALL.iter().map(|kind| kind.name()).collect();
            format!("`{text}` is not a kind; the kinds are {}", names.join(", "))
        })
    }
}

/// A field of an item, and the value to set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// The field's name.
    pub name: String,
    /// Its value.
    pub value: Value,
}

/// A change; it is applied or refused as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Adds an item.
    Create {
        /// Its kind.
        kind: Kind,
        /// Its name.
        name: String,
        /// Its fields; fields that are left out have their defaults.
        fields: Vec<Field>,
    },
    /// Sets fields of an item.
    Alter {
        /// Its kind.
        kind: Kind,
        /// Its name.
        name: String,
        /// The fields to set.
        fields: Vec<Field>,
    },
    /// Removes an item.
    Remove {
        /// Its kind.
        kind: Kind,
        /// Its name.
        name: String,
    },
    /// Sets the state of a server or host.
    Mark {
        /// Its kind.
        kind: Kind,
        /// Its name.
        name: String,
        /// The new state.
        state: State,
    },
}

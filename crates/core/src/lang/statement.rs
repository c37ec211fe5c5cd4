//! What a line can say.

use serde_json::Value;

use crate::config::Change;

/// One line of the language.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Asks.
    Query(Query),
    /// Changes the configuration.
    Change(Change),
    /// Tells what a change would do and does not do it.
    Dry(Change),
}

/// What a query is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The customers.
    Customers,
    /// The hosts.
    Hosts,
    /// The operators.
    Operators,
    /// The backend servers.
    Servers,
    /// The services.
    Services,
    /// The tiers.
    Tiers,
    /// The revision in force, here and at each entry.
    Revision,
    /// The commands so far.
    Audit,
    /// The view of the entries.
    View,
    /// The control replicas.
    Replicas,
}

impl Subject {
    /// The subject that `word` names.
    pub(super) fn from_word(word: &str) -> Option<Self> {
        Some(match word {
            "customers" => Self::Customers,
            "hosts" => Self::Hosts,
            "operators" => Self::Operators,
            "servers" => Self::Servers,
            "services" => Self::Services,
            "tiers" => Self::Tiers,
            "revision" => Self::Revision,
            "audit" => Self::Audit,
            "view" => Self::View,
            "replicas" => Self::Replicas,
            _ => return None,
        })
    }
}

/// How an answer is printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Columns for people.
    #[default]
    Table,
    /// One JSON object a line.
    Json,
}

/// How a field is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// Equal.
    Equal,
    /// Not equal.
    Differs,
    /// Less.
    Less,
    /// Greater.
    Greater,
}

/// What a row must fulfil.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// The column.
    pub field: String,
    /// The comparison.
    pub relation: Relation,
    /// What it is compared with.
    pub value: Value,
}

/// A query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// What it is about.
    pub subject: Subject,
    /// What each row must fulfil, all of them.
    pub conditions: Vec<Condition>,
    /// The column to sort by, and whether downwards.
    pub sort: Option<(String, bool)>,
    /// The columns to show; empty for all.
    pub columns: Vec<String>,
    /// How to print.
    pub format: Format,
}

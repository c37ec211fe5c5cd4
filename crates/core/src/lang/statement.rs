//! The statements of the language.

use serde_json::Value;

use crate::config::Change;

/// One line of the language.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Shows rows.
    Query(Query),
    /// Changes the configuration.
    Change(Change),
    /// Checks a change and shows its result without applying it.
    Dry(Change),
}

/// The rows that a query shows.
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
    /// The revision in effect, here and at each entry.
    Revision,
    /// The commands that were run so far.
    Audit,
    /// The view of the entries.
    View,
    /// The control replicas.
    Replicas,
}

impl Subject {
    /// The subject that `keyword` names.
    pub(super) fn from_keyword(keyword: &str) -> Option<Self> {
        Some(match keyword {
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

/// The output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Aligned columns, for people to read.
    #[default]
    Table,
    /// One JSON object for each line.
    Json,
}

/// A comparison of a field with a value.
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

/// A condition on rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// The column.
    pub field: String,
    /// The comparison.
    pub relation: Relation,
    /// The value that it is compared with.
    pub value: Value,
}

/// A query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// The rows to show.
    pub subject: Subject,
    /// The conditions that each row must meet, all of them.
    pub conditions: Vec<Condition>,
    /// The column to sort by, and whether in descending order.
    pub sort: Option<(String, bool)>,
    /// The columns to show; empty for all.
    pub columns: Vec<String>,
    /// The output format.
    pub format: Format,
}

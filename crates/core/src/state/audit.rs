//! The audit trail.

use serde::Deserialize;
use serde::Serialize;

use crate::id;

/// One line of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The operator.
    pub operator: id::Operator,
    /// The command's number.
    pub number: u64,
    /// The revision in force after it.
    pub revision: id::Revision,
    /// The result code.
    pub code: u16,
    /// The command.
    pub line: String,
}

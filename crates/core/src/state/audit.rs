//! The audit trail.

use serde::Deserialize;
use serde::Serialize;

use crate::id;

/// One entry of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The operator who sent the command.
    pub operator: id::Operator,
    /// The command's number.
    pub number: u64,
    /// The revision in effect after the command.
    pub revision: id::Revision,
    /// The result code of the command.
    pub code: u16,
    /// The text of the command.
    pub line: String,
}

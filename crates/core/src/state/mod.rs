//! The state machine that the replicated log drives: configuration, results of commands, audit
//! trail, view, routing table and records of the other features.

mod audit;
mod document;
mod machine;
mod record;
mod results;

pub use audit::AuditEntry;
pub use document::Document;
pub use document::MAX_DOCUMENT_BYTES;
pub use machine::Machine;
pub use machine::Step;
pub use record::Command;
pub use record::Publication;
pub use record::Record;
pub use results::CommandResult;
pub use results::CommandResults;

//! The machine above the replicated log: configuration, command numbers, audit, view.

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

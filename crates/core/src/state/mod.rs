//! The machine above the replicated log: configuration, command numbers, audit, view.

mod audit;
mod document;
mod ledger;
mod machine;
mod record;

pub use audit::Line;
pub use document::Document;
pub use document::LARGEST;
pub use ledger::Done;
pub use ledger::Ledger;
pub use machine::Machine;
pub use machine::Step;
pub use record::Command;
pub use record::Publication;
pub use record::Record;

//! The operators' command language, one statement for each line; docs/LANGUAGE.md has the grammar.

mod parser;
mod query;
mod statement;

pub use parser::parse;
pub use query::Table;
pub use query::run_query;
pub use statement::Condition;
pub use statement::Format;
pub use statement::Query;
pub use statement::Relation;
pub use statement::Statement;
pub use statement::Subject;

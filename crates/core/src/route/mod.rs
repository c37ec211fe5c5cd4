//! Routing tables: which requests go to which services. A table is replaced as a whole, under a rising version.

mod customer;
mod homes;
mod kind;
mod rank;
mod rule;
mod table;

pub use customer::CustomerPolicy;
pub use customer::Quota;
pub use customer::Unit;
pub use homes::Homes;
pub use homes::Regions;
pub use kind::Kind;
pub use rank::Rank;
pub use rule::Rule;
pub use rule::Target;
pub use table::Engine;
pub use table::Limits;
pub use table::Parts;
pub use table::ServicePolicy;
pub use table::Table;

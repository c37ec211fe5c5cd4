//! The backend servers of one service, as the owner of its queue sees them: what runs on each, how
//! fast each is, which prompts each may have cached, and which one to pick for a request.

mod index;
mod pick;
mod prefix;
mod server;
mod speed;
mod tuning;

pub use index::Fleet;
pub use pick::Pick;
pub use pick::TimeEstimate;
pub use pick::Work;
pub use prefix::Prefix;
pub use server::Spec;
pub use tuning::Tuning;

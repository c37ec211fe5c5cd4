//! Limits of backend servers: how many requests a second they take from all hosts together, by their own word or while
//! they are cold.
//!
//! The bound is over all gateways, so it is kept in one account, at the hub ([`Ledger`]): whoever gives a place at
//! such a server draws it there first. Gateways tell the hub what answers say ([`Local`]) until it has heard that, and
//! send nothing there without a place that was drawn. Which of two words is the newer one goes by the hub's grants:
//! an answer to what was granted after a word had been heard is newer than that word ([`Table`]).

mod ledger;
mod local;
mod rate;
mod said;
mod table;
mod warmup;
mod word;

pub use ledger::Ledger;
pub use local::Local;
pub use rate::OddRate;
pub use rate::Rate;
pub use said::Said;
pub use table::Change;
pub use table::Limit;
pub use table::News;
pub use table::Table;
pub use warmup::Slack;
pub use warmup::Warmup;
pub use word::Key;
pub use word::Word;
pub use word::Words;

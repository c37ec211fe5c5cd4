//! The platform of the users' machines: its settings file, its wire, its list of backend servers.
//!
//! Nothing here decides anything or keeps anything that must survive. The platform's own names
//! stand in this folder only; each is decoded once, into types whose fields say what they hold.

mod directory;
mod document;
mod entries;
mod evacuations;
mod headers;
mod http;
mod instances;
mod operator;
mod rollouts;
mod settings;
mod start;

pub(crate) use settings::Settings;
pub use start::Platform;

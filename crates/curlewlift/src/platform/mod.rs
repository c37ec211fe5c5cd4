//! The interface to the platform that hosts the system: its settings file, its HTTP formats, and its
//! list of backend servers.
//!
//! This module makes no scheduling decisions and stores nothing that must survive a restart. The
//! platform's own names appear in this folder only; each is decoded once, into types whose fields say
//! what they hold.

mod client;
mod directory;
mod document;
mod entries;
mod evacuations;
mod headers;
mod http;
mod instances;
mod operator;
mod quarantine;
mod reads;
mod rollouts;
mod settings;
mod start;

pub(crate) use client::Client;
pub(crate) use client::Transfer;
pub(crate) use settings::Settings;
pub use start::Platform;

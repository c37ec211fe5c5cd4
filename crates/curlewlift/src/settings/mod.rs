//! Settings: a flag takes precedence over an environment variable, and that over the default.
//!
//! An invalid setting ends the process at start.

mod args;
mod resolve;
mod variables;

pub(crate) use args::Args;
pub(crate) use args::Command;
pub(crate) use args::Configuration;
pub(crate) use args::ConfigurationAction;
pub(crate) use args::Control as ControlArgs;
pub(crate) use args::Entry as EntryArgs;
pub(crate) use args::GetConfiguration;
pub(crate) use args::Losses;
pub(crate) use args::Operate;
pub(crate) use args::Platform;
pub(crate) use args::PutConfiguration;
pub(crate) use args::Timeline;
pub(crate) use resolve::Common;
pub(crate) use resolve::Control;
pub(crate) use resolve::Entry;
pub(crate) use resolve::Environment;
pub(crate) use resolve::Operator;
pub(crate) use variables::reject_unknown_variables;

//! curlewlift: a request scheduler between callers and backend servers of different kinds.
//!
//! This crate runs the daemons; the scheduling logic is in `curlewlift-core`, re-exported as [`core`].

mod blocking;
mod control;
mod disk;
mod entry;
mod gateway;
mod key;
mod links;
mod losses;
mod operate;
mod platform;
mod process;
mod program;
mod rpc;
mod settings;
mod timeline;

pub use curlewlift_core as core;

pub use control::Control;
pub use entry::Entry;
pub use key::digest;
pub use links::LinkFault;
pub use links::Links;
pub use operate::Operator;
pub use operate::collect;
pub use platform::Platform;
pub use process::Clock;
pub use process::Handle;
pub use process::Process;
pub use program::main;

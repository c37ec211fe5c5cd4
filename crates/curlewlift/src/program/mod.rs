//! What the command line starts.

mod logs;
mod operate;
mod run;
mod timeline;

pub use run::main;

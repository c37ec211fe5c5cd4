//! The command-line program: parses the arguments and runs the subcommand.

mod log_writer;
mod losses;
mod operate;
mod run;
mod telemetry;
mod timeline;

pub use run::main;

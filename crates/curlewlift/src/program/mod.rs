//! The command-line program: parses the arguments and runs the subcommand.

mod configuration;
mod log_writer;
mod losses;
mod operate;
mod progress;
mod run;
mod telemetry;
mod timeline;

pub use run::main;

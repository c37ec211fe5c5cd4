//! The program `curlewlift`: every role is a subcommand.

use std::process::ExitCode;

fn main() -> ExitCode {
    curlewlift::main()
}

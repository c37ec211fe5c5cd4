//! A host as a process of its own.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

/// A running program, which is killed when dropped.
pub(crate) struct Program(Child);

impl Program {
    /// Starts the program with the arguments of the deploy file; it appends its log to `log`. `SOAK_PROGRAM` names another
    /// build of it.
    pub(crate) fn start(settings: &Path, metrics: SocketAddr, log: &Path) -> Self {
        let deployment = include_str!("../../../../deploy/system.toml");
        let mut lines = deployment.lines();
        let run = lines.find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.expect("the deploy file has a command");
        let run = run.replace("{{ip}}:{{internal_ports.1}}", &metrics.to_string());
        let built = || env!("CARGO_BIN_EXE_curlewlift").to_owned();
        let program = std::env::var("SOAK_PROGRAM").unwrap_or_else(|_| built());
        let log = File::options().create(true).append(true).open(log);
        let log = log.expect("the log is opened");
        let child = Command::new(program)
            .args(run.split(' ').skip(1))
            .env("CURLEWLIFT_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log is opened twice"))
            .stderr(log)
            .spawn();
        Self(child.expect("the program starts"))
    }

    /// Sends a signal, unless the program has ended: its id may be another's by then.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if !self.is_ended() {
            let id = i32::try_from(self.0.id()).expect("a process id");
            kill(Pid::from_raw(id), signal).expect("the signal is sent");
        }
    }

    pub(crate) fn is_ended(&mut self) -> bool {
        let status = self.0.try_wait().expect("the program is a child");
        status.is_some()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

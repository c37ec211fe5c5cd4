//! What soaks share: settings, and losses of hosts in overlapping series.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

use curlewlift::Process;

use super::Hosts;

/// Returns the number in an environment variable, or `default`.
pub(crate) fn setting(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).unwrap_or_default();
    text.parse().unwrap_or(default)
}

/// Ends the callers, also when a check fails.
pub(crate) struct End<'a>(pub(crate) &'a AtomicBool);

impl Drop for End<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A host that is down, or about to be.
struct Down {
    host: usize,
    /// When it is started again.
    at: Instant,
    /// Its process, if it was asked to stop.
    stopping: Option<Process>,
}

impl Down {
    fn restart(self, hosts: &mut Hosts) {
        if let Some(stopping) = self.stopping {
            stopping.wait().expect("the host stops");
        }
        hosts.boot(self.host, false);
    }
}

/// The hosts that are down.
#[derive(Default)]
pub(crate) struct Losses {
    down: Vec<Down>,
}

impl Losses {
    /// Starts the hosts again whose time has come.
    pub(crate) fn restart_due(&mut self, hosts: &mut Hosts) {
        let now = Instant::now();
        let down = std::mem::take(&mut self.down);
        let (due, still): (Vec<_>, Vec<_>) = down.into_iter().partition(|down| down.at <= now);
        self.down = still;
        for due in due {
            due.restart(hosts);
        }
    }

    /// Returns whether a host is neither down nor stopping.
    pub(crate) fn is_up(&self, host: usize) -> bool {
        self.down.iter().all(|down| down.host != host)
    }

    /// Kills a host until `at`.
    pub(crate) fn kill(&mut self, hosts: &mut Hosts, host: usize, at: Instant) {
        hosts.kill(host);
        let stopping = None;
        self.down.push(Down { host, at, stopping });
    }

    /// Asks a host to stop, and starts it again at `at` or once it has ended. It goes on serving open connections meanwhile.
    pub(crate) fn stop(&mut self, hosts: &mut Hosts, host: usize, at: Instant) {
        let stopping = Some(hosts.stop(host));
        self.down.push(Down { host, at, stopping });
    }

    /// Starts all hosts again.
    pub(crate) fn end(self, hosts: &mut Hosts) {
        for down in self.down {
            down.restart(hosts);
        }
    }
}

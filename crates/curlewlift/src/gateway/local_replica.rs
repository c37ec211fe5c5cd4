//! The control replica that runs in the same process as a gateway.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use curlewlift_core::code::Refusal;
use curlewlift_core::id;

use crate::control::Control;
use crate::control::Gateways;
use crate::process;
use crate::process::Clock;
use crate::process::Process;

/// Interval at which the control replica is checked for its end, and the pause before a restart.
const RESTART_INTERVAL: Duration = Duration::from_millis(500);

/// Settings of the control replica in a gateway's process.
#[derive(Clone)]
pub(crate) struct LocalReplica {
    /// Address where it is reached.
    pub(crate) rpc: SocketAddr,
    /// The folder of its files.
    pub(crate) data: PathBuf,
    /// The hosts that found a new log together if their folders are empty.
    pub(crate) founders: BTreeSet<id::Host>,
    /// The other replicas that are known at the start.
    pub(crate) peers: BTreeMap<id::Host, SocketAddr>,
    /// Clock for its decisions, the same as the gateway's.
    pub(crate) clock: Clock,
    /// What it needs to serve gateways.
    pub(crate) gateways: Gateways,
}

/// A running control replica; killed when dropped, as the gateway ends.
struct Replica(Option<Process>);

impl Replica {
    fn is_ended(&self) -> bool {
        self.0.as_ref().is_none_or(Process::is_ended)
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        if let Some(process) = self.0.take() {
            process.kill();
        }
    }
}

/// Runs a control replica, and restarts it when it ends: after a disk failure it continues with what the
/// disk stores. The gateway serves on meanwhile.
pub(super) async fn supervise(host: id::Host, mut settings: LocalReplica) {
    loop {
        match start(&host, &settings) {
            Ok(process) => {
                // If the folder is lost while the replica runs, a restart must not create a second log.
                settings.founders.clear();
                let mut replica = Replica(Some(process));
                while !replica.is_ended() {
                    tokio::time::sleep(RESTART_INTERVAL).await;
                }
                if let Some(Err(why)) = replica.0.take().map(Process::wait) {
                    log::error!("the control replica has ended: {why}");
                }
            }
            Err(why) => log::error!("the control replica cannot start: {why}"),
        }
        tokio::time::sleep(RESTART_INTERVAL).await;
    }
}

fn start(host: &id::Host, settings: &LocalReplica) -> Result<Process, Refusal> {
    let listener = process::bind(settings.rpc)?;
    Control::new(host.clone(), listener)
        .data(settings.data.clone())
        .founders(settings.founders.clone())
        .peers(settings.peers.clone())
        .clock(settings.clock.clone())
        .gateways(settings.gateways.clone())
        .start()
}

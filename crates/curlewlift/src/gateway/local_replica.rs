//! The control replica that runs beside a gateway, in the same process.

use std::collections::BTreeMap;
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

/// Between two looks whether the control replica has ended, and before it is started anew.
const RESTART_INTERVAL: Duration = Duration::from_millis(500);

/// The control replica beside a gateway, to be started.
#[derive(Clone)]
pub(crate) struct LocalReplica {
    /// Where it is reached.
    pub(crate) rpc: SocketAddr,
    /// The folder of its files.
    pub(crate) data: PathBuf,
    /// Whether it founds the log where the folder is empty.
    pub(crate) found: bool,
    /// The other replicas that are known at the start.
    pub(crate) peers: BTreeMap<id::Host, SocketAddr>,
    /// What it goes by, as the gateway does.
    pub(crate) clock: Clock,
    /// What it needs to serve gateways.
    pub(crate) gateways: Gateways,
}

/// A control replica that ends with the gateway beside which it runs.
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

/// Keeps a control replica running: one that its disk has failed begins anew with what the disk
/// holds, and the gateway goes on meanwhile.
pub(super) async fn supervise(host: id::Host, mut settings: LocalReplica) {
    loop {
        match start(&host, &settings) {
            Ok(process) => {
                // A folder that is lost while it runs must not found a second log.
                settings.found = false;
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
        .found(settings.found)
        .peers(settings.peers.clone())
        .clock(settings.clock.clone())
        .gateways(settings.gateways.clone())
        .start()
}

//! Starts a control replica and runs its event loop.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::id;
use curlewlift_core::log::Replica;
use curlewlift_core::log::Timing;
use curlewlift_core::view::LeaseTiming;
use rand::Rng;
use tokio::sync::mpsc;

use crate::disk::Journal;
use crate::disk::Writer;
use crate::process::Clock;
use crate::process::Order;
use crate::process::Process;
use crate::process::Signal;
use crate::rpc;
use crate::timeline::Timeline;

use super::gateways::Gateways;
use super::replica::State;

/// The interval between two ticks of the replica.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The interval between two attempts of a replica to join or rejoin the replica set.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);

/// The builder of a control replica.
///
/// # Examples
///
/// ```no_run
/// use std::net::TcpListener;
/// let listener = TcpListener::bind("127.0.0.1:0")?;
/// let control = curlewlift::Control::new("c1".parse()?, listener)
///     .data("/var/lib/curlewlift".into())
///     .found(true)
///     .start()?;
/// control.stop();
/// control.wait()?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct Control {
    host: id::Host,
    listener: TcpListener,
    data: PathBuf,
    founders: BTreeSet<id::Host>,
    peers: BTreeMap<id::Host, SocketAddr>,
    timing: Timing,
    lease: LeaseTiming,
    platform: Option<SocketAddr>,
    gateways: Option<Gateways>,
    clock: Clock,
}

/// # Settings
impl Control {
    /// Creates a replica on `host` that accepts other processes' connections on `listener`.
    #[must_use]
    pub fn new(host: id::Host, listener: TcpListener) -> Self {
        Self {
            host,
            listener,
            data: PathBuf::from("data"),
            founders: BTreeSet::new(),
            peers: BTreeMap::new(),
            timing: Timing::default(),
            lease: LeaseTiming::default(),
            platform: None,
            gateways: None,
            clock: Clock::start(),
        }
    }

    /// Serves gateways, and admits replicas as they ask instead of by configuration.
    #[must_use]
    pub(crate) fn gateways(mut self, gateways: Gateways) -> Self {
        self.gateways = Some(gateways);
        self
    }

    /// Uses `clock` instead of a clock of its own.
    #[must_use]
    pub fn clock(mut self, clock: Clock) -> Self {
        self.clock = clock;
        self
    }

    /// The folder for the replica's files.
    #[must_use]
    pub fn data(mut self, data: PathBuf) -> Self {
        self.data = data;
        self
    }

    /// Whether to found a new log if the folder is empty, instead of joining one.
    #[must_use]
    pub fn found(self, found: bool) -> Self {
        let host = found.then(|| self.host.clone());
        self.founders(host.into_iter().collect())
    }

    /// The hosts that found a new log together if their folders are empty; the others join it. Each must be given the same.
    #[must_use]
    pub(crate) fn founders(mut self, founders: BTreeSet<id::Host>) -> Self {
        self.founders = founders;
        self
    }

    /// The addresses of the control replicas.
    #[must_use]
    pub fn peers(mut self, peers: BTreeMap<id::Host, SocketAddr>) -> Self {
        self.peers = peers;
        self
    }

    /// The address where the platform serves its list of live and leaving hosts.
    #[must_use]
    pub fn platform(mut self, platform: Option<SocketAddr>) -> Self {
        self.platform = platform;
        self
    }

    /// The timing of elections and heartbeats.
    #[must_use]
    pub fn timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// The timing of the entries' leases; the entries must be configured alike.
    #[must_use]
    pub fn lease(mut self, lease: LeaseTiming) -> Self {
        self.lease = lease;
        self
    }
}

/// # Lifecycle
impl Control {
    /// Starts the replica on a thread of its own.
    ///
    /// # Errors
    ///
    /// [`Code::Damaged`] or [`Code::DiskFailed`] if the folder cannot be used.
    pub fn start(self) -> Result<Process, Refusal> {
        let journal = self.open()?;
        let name = format!("control {}", self.host);
        Process::start(&name, move |signal| run(self, journal, signal))
    }

    /// Opens the journal, or creates it if the folder has none.
    fn open(&self) -> Result<Journal, Refusal> {
        if let Some(journal) = Journal::open(&self.data)? {
            return Ok(journal);
        }
        let disk = id::Disk(rand::rng().next_u64());
        let is_only_founder = self.founders.iter().eq([&self.host]);
        let saved = if is_only_founder {
            Replica::founding_state(&self.host, disk)
        } else {
            let shared = Replica::shared_founding_state(&self.host, &self.founders);
            shared.unwrap_or_else(|| Replica::blank_state(disk))
        };
        Journal::create(&self.data, saved)
    }
}

/// Closes the journal writer when the replica ends, killed or not.
///
/// Connections may still hold the state then, and drop it only later.
struct CloseWriterOnDrop(Rc<RefCell<State>>);

impl Drop for CloseWriterOnDrop {
    fn drop(&mut self) {
        match self.0.try_borrow_mut() {
            Ok(mut state) => state.close(),
            Err(why) => log::error!(
                "cannot close the journal writer, the journal may still be written to: {why}"
            ),
        }
    }
}

/// Runs the replica until it is stopped or its disk fails.
async fn run(control: Control, journal: Journal, mut signal: Signal) -> Result<(), Refusal> {
    let clock = control.clock;
    let timeline = Timeline::new(control.host.as_str());
    let listener = crate::process::tokio_listener(control.listener)?;
    let address = listener.local_addr().map_err(|why| {
        Refusal::new(
            Code::Internal,
            format!("the listener has no address: {why}"),
        )
    })?;
    let saved = journal.get_saved().clone();
    let (sync_sender, mut sync_results) = mpsc::unbounded_channel();
    let writer = Writer::start(journal, move |result| {
        let _ = sync_sender.send(result);
    })?;
    let seed = rand::rng().next_u64();
    let replica = Replica::new(
        control.host.clone(),
        saved,
        control.timing,
        seed,
        clock.now(),
    );
    let client = rpc::Client::new(timeline.clone());
    let (decoded_sender, mut decoded_tables) = mpsc::unbounded_channel();
    let state = State::new(
        replica,
        writer,
        client,
        timeline.clone(),
        control.lease,
        decoded_sender,
    );
    let state = Rc::new(RefCell::new(
        state?
            .peers(control.peers)
            .address(address)
            .clock(clock)
            .gateways(control.gateways),
    ));
    let _close_writer = CloseWriterOnDrop(Rc::clone(&state));
    let handler = super::handler::handler(Rc::clone(&state), timeline.clone());
    tokio::task::spawn_local(rpc::serve(listener, handler, timeline.clone()));
    timeline.note(Line::new(Kind::Started).detail(format_args!("control, rpc={address}")));
    if let Some(platform) = control.platform {
        tokio::task::spawn_local(super::platform::watch(Rc::clone(&state), platform));
    }
    state.borrow_mut().process_output();
    let mut tick_timer = tokio::time::interval(TICK_INTERVAL);
    let mut join_timer = tokio::time::interval(JOIN_INTERVAL);
    loop {
        tokio::select! {
            _ = tick_timer.tick() => state.borrow_mut().tick(),
            _ = join_timer.tick() => state.borrow_mut().join(),
            Some(result) = sync_results.recv() => match result {
                Ok(sync) => state.borrow_mut().on_synced(sync),
                Err(refusal) => {
                    timeline.note(Line::new(Kind::DiskFailed).detail(&refusal));
                    return Err(refusal);
                }
            },
            Some(decoded) = decoded_tables.recv() => state.borrow_mut().on_decoded(decoded),
            order = signal.next() => {
                if order == Order::Stop {
                    timeline.note(Line::new(Kind::Stopped));
                }
                return Ok(());
            }
        }
    }
}

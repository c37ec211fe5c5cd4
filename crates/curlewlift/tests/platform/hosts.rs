//! Hosts of the platform on loopback addresses, and its list of engines.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::ops::Range;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use curlewlift::Clock;
use curlewlift::LinkFault;
use curlewlift::Links;
use curlewlift::Platform;
use curlewlift::Process;
use curlewlift::core::event;
use curlewlift::core::event::Filter;
use curlewlift::core::event::Kind;
use serde_json::Value;
use serde_json::json;

use super::Answer;
use super::Engine;
use super::KeptConnection;
use super::Program;
use super::SlowLink;
use super::host_logs::log_host;
use super::send_request;

/// How long tests wait for any condition; no test asserts a shorter time.
const TIMEOUT: Duration = Duration::from_secs(30);

/// How long a gateway may take to receive what was committed to the log: its poll waits no longer for updates.
const UPDATE_DELAY: Duration = Duration::from_millis(300);

/// The platform's server list, and the calls for it that were rejected.
#[derive(Default)]
struct ListState {
    entries: Vec<Value>,
    /// The `Retry-After` value, if every call is rejected.
    retry_after: Option<String>,
    /// The calls that were rejected: the caller's address and the time.
    rejected_list_calls: Vec<(SocketAddr, Instant)>,
    /// Where every response goes on without end, if it does.
    endless: Option<EndlessList>,
    /// The most pages of one list without end that were asked for.
    endless_pages: usize,
}

/// Where the response to a call for the list goes on without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndlessList {
    Head,
    Body,
    /// Each page is large, and names a next one.
    Pages,
}

/// The size of a page of a list without end, in bytes.
const LARGE_PAGE_BYTES: usize = 3 << 20;

impl EndlessList {
    /// Sends a response until the connection is closed, or one page of a list with `entries` again and again.
    fn send(self, stream: &mut std::net::TcpStream, entries: &[Value]) {
        let begin = match self {
            Self::Head => "HTTP/1.1 200 OK\r\nX-Filler: ",
            Self::Body => "HTTP/1.1 200 OK\r\n\r\n{\"instances\":[\"",
            Self::Pages => {
                let entry_bytes = Value::from(entries).to_string().len();
                let pages = LARGE_PAGE_BYTES / entry_bytes;
                let page: Vec<_> = std::iter::repeat_n(entries, pages).flatten().collect();
                let body = json!({ "instances": page, "next_token": "2" }).to_string();
                let length = body.len();
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                let _ = stream.write_all((head + &body).as_bytes());
                return;
            }
        };
        let filler = "x".repeat(1_000);
        let mut is_open = stream.write_all(begin.as_bytes()).is_ok();
        while is_open {
            is_open = stream.write_all(filler.as_bytes()).is_ok();
        }
    }
}

/// Ports, the same on all hosts.
#[derive(Clone, Copy)]
struct Ports {
    callers: u16,
    ready: u16,
    control: u16,
    directory: u16,
    internal: u16,
}

/// Hosts, of which the first three have a disk, and the platform's server list.
pub(crate) struct Hosts {
    folder: PathBuf,
    /// The last byte of the first host's address.
    first: u8,
    ports: Ports,
    /// The hosts that the settings name as seeds.
    seeds: Vec<usize>,
    /// The link over which hosts without a disk reach the others.
    link: Option<SlowLink>,
    /// The link over which operators reach hosts without a disk, if it is slow too. The settings state the rates of links then.
    operators_link: Option<SlowLink>,
    processes: Vec<Option<Process>>,
    /// The hosts that run as processes of their own.
    programs: Vec<Option<Program>>,
    runs_programs: bool,
    /// The clocks of the hosts.
    clocks: Vec<Clock>,
    /// The hosts' links to engines.
    links: Vec<Links>,
    /// The server list as each host reaches it, and whether the platform leaves that host without answers.
    lists: Vec<(SocketAddr, Arc<AtomicBool>)>,
    server_list: Arc<Mutex<ListState>>,
    /// The platform contracts that are enabled.
    contracts: &'static [&'static str],
    /// The parts of scheduling under hard load that are switched on.
    scheduling: &'static str,
}

/// How hosts are started.
#[derive(Clone, Copy)]
struct Start {
    without_disk: u8,
    /// The rate of the link of hosts without a disk, in bytes per second.
    link: Option<u64>,
    /// Whether operators reach hosts without a disk over a link of the same rate.
    operators_link: bool,
    contracts: &'static [&'static str],
    /// How much later than the others the third host starts.
    third_delay: Duration,
    scheduling: &'static str,
    /// Whether hosts run as processes of their own.
    runs_programs: bool,
}

impl Default for Start {
    fn default() -> Self {
        Self {
            without_disk: 0,
            link: None,
            operators_link: false,
            contracts: &["base"],
            third_delay: Duration::ZERO,
            scheduling: "",
            runs_programs: false,
        }
    }
}

impl Hosts {
    /// Starts three hosts with a disk, and `without_disk` more, with roll-outs enabled.
    pub(crate) fn start_rollouts(
        folder: PathBuf,
        engines: &[(&Engine, &str)],
        without_disk: u8,
    ) -> Self {
        Self::start_with(folder, engines, without_disk, None, &["base", "rollout"])
    }

    /// Starts three hosts with a disk.
    pub(crate) fn start(folder: PathBuf, engines: &[(&Engine, &str)]) -> Self {
        Self::start_more(folder, engines, 0, None)
    }

    /// Starts three hosts with a disk and `without_disk` more, with these parts of scheduling switched on.
    pub(crate) fn start_scheduled(
        folder: PathBuf,
        engines: &[(&Engine, &str)],
        without_disk: u8,
        scheduling: &'static str,
    ) -> Self {
        let start = Start {
            without_disk,
            scheduling,
            ..Start::default()
        };
        Self::start_as(folder, engines, start)
    }

    /// Starts three hosts with a disk and `without_disk` more, each as a process of its own.
    pub(crate) fn start_programs(
        folder: PathBuf,
        engines: &[(&Engine, &str)],
        without_disk: u8,
    ) -> Self {
        let start = Start {
            without_disk,
            runs_programs: true,
            ..Start::default()
        };
        let hosts = Self::start_as(folder, engines, start);
        wait("all hosts listen", || {
            let mut indices = hosts.indices();
            indices.all(|index| TcpStream::connect(hosts.control(index)).is_ok())
        });
        hosts
    }

    /// Starts three hosts with a disk, the third one `delay` after the others.
    pub(crate) fn start_late(
        folder: PathBuf,
        engines: &[(&Engine, &str)],
        delay: Duration,
    ) -> Self {
        let start = Start {
            third_delay: delay,
            ..Start::default()
        };
        Self::start_as(folder, engines, start)
    }

    /// Starts three hosts with a disk, and `without_disk` more that reach the others over a link of `link`
    /// bytes per second.
    pub(crate) fn start_more(
        folder: PathBuf,
        engines: &[(&Engine, &str)],
        without_disk: u8,
        link: Option<u64>,
    ) -> Self {
        Self::start_with(folder, engines, without_disk, link, &["base"])
    }

    /// Does the same, with a link of that rate also between operators and each host without a disk. The hosts know the rates of
    /// their links.
    pub(crate) fn start_narrow(
        folder: PathBuf,
        engines: &[(&Engine, &str)],
        without_disk: u8,
        link: u64,
    ) -> Self {
        let start = Start {
            without_disk,
            link: Some(link),
            operators_link: true,
            ..Start::default()
        };
        Self::start_as(folder, engines, start)
    }

    fn start_with(
        folder: PathBuf,
        engines: &[(&Engine, &str)],
        without_disk: u8,
        link: Option<u64>,
        contracts: &'static [&'static str],
    ) -> Self {
        let start = Start {
            without_disk,
            link,
            contracts,
            ..Start::default()
        };
        Self::start_as(folder, engines, start)
    }

    fn start_as(folder: PathBuf, engines: &[(&Engine, &str)], start: Start) -> Self {
        let Start {
            without_disk,
            link,
            operators_link,
            contracts,
            third_delay,
            scheduling,
            runs_programs,
        } = start;
        let server_list = engines
            .iter()
            .map(|(engine, service)| entry(engine, service, "ready"));
        let server_list = ListState {
            entries: server_list.collect(),
            ..ListState::default()
        };
        let server_list = Arc::new(Mutex::new(server_list));
        let first = reserve_addresses(DISK_COUNT + without_disk);
        let ports = ports(first);
        let replicas = (0..DISK_COUNT).map(|index| address(first, index.into(), ports.internal));
        let link = link.map(|rate| SlowLink::open(rate, &replicas.collect::<Vec<_>>()));
        let narrow = (DISK_COUNT..DISK_COUNT + without_disk)
            .map(|index| address(first, index.into(), ports.control));
        let operators_rate = link
            .as_ref()
            .filter(|_| operators_link)
            .map(SlowLink::get_rate);
        let operators_link =
            operators_rate.map(|rate| SlowLink::open(rate, &narrow.collect::<Vec<_>>()));
        let mut hosts = Self {
            folder,
            first,
            ports,
            seeds: (0..DISK_COUNT.into()).collect(),
            link,
            operators_link,
            processes: (0..DISK_COUNT + without_disk).map(|_| None).collect(),
            programs: (0..DISK_COUNT + without_disk).map(|_| None).collect(),
            runs_programs,
            clocks: (0..DISK_COUNT + without_disk)
                .map(|_| Clock::start())
                .collect(),
            links: (0..DISK_COUNT + without_disk)
                .map(|_| Links::default())
                .collect(),
            lists: (0..DISK_COUNT + without_disk)
                .map(|_| serve_list(&server_list))
                .collect(),
            server_list,
            contracts,
            scheduling,
        };
        for index in hosts.indices() {
            if index == 2 {
                std::thread::sleep(third_delay);
            }
            hosts.boot(index, true);
        }
        hosts
    }

    /// The indices of all hosts.
    pub(crate) fn indices(&self) -> Range<usize> {
        0..self.processes.len()
    }

    /// Makes the platform's responses to calls for the list go on without end.
    pub(crate) fn list_without_end(&self, endless: Option<EndlessList>) {
        self.server_list.lock().expect("no panic").endless = endless;
    }

    /// Returns the most pages of one list without end that a host has asked for.
    pub(crate) fn endless_pages(&self) -> usize {
        self.server_list.lock().expect("no panic").endless_pages
    }

    /// Makes the settings name these hosts as seeds.
    pub(crate) fn set_seeds(&mut self, seeds: &[usize]) {
        self.seeds = seeds.to_vec();
        for index in self.indices() {
            self.settings(index, false);
        }
    }

    /// Marks an engine as draining in the server list.
    pub(crate) fn drain(&self, engine: &Engine) {
        let mut server_list = self.server_list.lock().expect("the lock is not poisoned");
        for entry in server_list
            .entries
            .iter_mut()
            .filter(|entry| entry["id"] == engine.id)
        {
            entry["state"] = json!("draining");
        }
    }

    /// Replaces the server list.
    pub(crate) fn list(&self, entries: Vec<Value>) {
        self.server_list
            .lock()
            .expect("the lock is not poisoned")
            .entries = entries;
    }

    /// Makes the platform reject all calls for the list with this `Retry-After` value.
    pub(crate) fn reject_list_calls(&self, retry_after: &str) {
        self.server_list
            .lock()
            .expect("the lock is not poisoned")
            .retry_after = Some(retry_after.to_owned());
    }

    /// Makes the platform accept calls for the list again.
    pub(crate) fn accept_list_calls(&self) {
        let mut server_list = self.server_list.lock().expect("the lock is not poisoned");
        server_list.retry_after = None;
    }

    /// Makes the platform answer calls for the list from these hosts only.
    pub(crate) fn answer_list_calls_of(&self, hosts: &[usize]) {
        for (index, (_, is_silent)) in self.lists.iter().enumerate() {
            is_silent.store(!hosts.contains(&index), Ordering::Relaxed);
        }
    }

    /// Returns the calls for the list that were rejected: the caller's address and the time.
    pub(crate) fn rejected_list_calls(&self) -> Vec<(SocketAddr, Instant)> {
        self.server_list
            .lock()
            .expect("the lock is not poisoned")
            .rejected_list_calls
            .clone()
    }

    /// Returns how many bytes the hosts without a disk have received over their link.
    pub(crate) fn link_bytes(&self) -> u64 {
        self.link.as_ref().map_or(0, SlowLink::get_response_bytes)
    }

    /// Returns the address at which operators reach a host without a disk over its link.
    pub(crate) fn narrow_control(&self, index: usize) -> SocketAddr {
        let link = self.operators_link.as_ref().expect("there is a link");
        address(self.first, index, link.get_port())
    }

    /// Returns how many bytes the hosts without a disk have sent to operators over their link.
    pub(crate) fn operators_bytes(&self) -> u64 {
        let link = self.operators_link.as_ref();
        link.map_or(0, SlowLink::get_response_bytes)
    }

    /// Makes the link of the hosts without a disk to these hosts silent, and to no others.
    pub(crate) fn silence_link(&self, to: &[usize]) {
        let link = self.link.as_ref().expect("there is a link");
        link.silence(to.iter().map(|index| self.internal(*index)));
    }

    /// Starts a host with the data on its disk.
    pub(crate) fn boot(&mut self, index: usize, first: bool) {
        let path = self.settings(index, first);
        if self.runs_programs {
            let metrics = address(self.first, index, self.ports.internal + 2);
            let log = self.log_path(index);
            self.programs[index] = Some(Program::start(&path, metrics, &log));
            return;
        }
        let host = address(self.first, index, 0).ip();
        log_host(host, &self.log_path(index));
        let platform = Platform::new(path).expect("the settings are valid");
        let scheduling = self.scheduling.parse().expect("valid parts");
        let platform = platform.scheduling(scheduling);
        let platform = platform.clock(self.clocks[index].clone());
        let platform = platform.links(self.links[index].clone());
        self.processes[index] = Some(platform.start().expect("the host starts"));
    }

    /// Makes a host's new connections to these engines fail; `None` ends the fault.
    pub(crate) fn set_link_fault(
        &self,
        index: usize,
        engines: &[Engine],
        fault: Option<LinkFault>,
    ) {
        for engine in engines {
            self.links[index].simulate_fault(engine.address, fault);
        }
    }

    /// Makes a host resume after a suspension of `length`: its timers stood still, and its connections are unchanged.
    pub(crate) fn suspend(&self, index: usize, length: Duration) {
        self.clocks[index].simulate_suspend(length);
    }

    /// Kills a host's process.
    pub(crate) fn kill(&mut self, index: usize) {
        if let Some(process) = self.processes[index].take() {
            process.kill();
        }
        self.programs[index] = None;
    }

    /// A host that is a process of its own.
    pub(crate) fn program(&mut self, index: usize) -> &mut Program {
        self.programs[index].as_mut().expect("the host was started")
    }

    /// The file to which a host writes its log.
    pub(crate) fn log_path(&self, index: usize) -> PathBuf {
        self.folder.join(format!("host-{index}")).join("log")
    }

    /// The folder that is the disk of a host.
    fn disk(&self, index: usize) -> PathBuf {
        self.folder.join(format!("host-{index}")).join("data")
    }

    /// Whether a host has written to its disk.
    pub(crate) fn has_written(&self, index: usize) -> bool {
        self.disk(index).exists()
    }

    /// Deletes the disk of a host that is down.
    pub(crate) fn wipe(&self, index: usize) {
        std::fs::remove_dir_all(self.disk(index)).expect("the host has a disk");
    }

    /// Asks a host to stop; returns its process to wait for.
    pub(crate) fn stop(&mut self, index: usize) -> Process {
        let process = self.processes[index].take().expect("the host is running");
        process.stop();
        process
    }

    pub(crate) fn callers(&self, index: usize) -> SocketAddr {
        address(self.first, index, self.ports.callers)
    }

    pub(crate) fn control(&self, index: usize) -> SocketAddr {
        address(self.first, index, self.ports.control)
    }

    pub(crate) fn directory(&self, index: usize) -> SocketAddr {
        address(self.first, index, self.ports.directory)
    }

    fn internal(&self, index: usize) -> SocketAddr {
        address(self.first, index, self.ports.internal)
    }

    /// Whether the replica on a host became a voter since the last start of the running replicas, according to their
    /// events.
    pub(crate) fn was_readmitted(&self, index: usize) -> bool {
        let host = address(self.first, index, 0).ip().to_string();
        let lines = self.timeline(Kind::ReplicaCounts);
        lines.iter().any(|line| line.detail == host)
    }

    fn is_running(&self, index: usize) -> bool {
        self.processes[index].is_some() || self.programs[index].is_some()
    }

    /// Whether all running hosts hold a share of what gateways may do without the hub.
    fn hold_shares(&self) -> bool {
        let running = self.indices().filter(|index| self.is_running(*index));
        let running = running.count();
        let lines = self.timeline(Kind::PartsHeld);
        let Some(last) = lines.last() else {
            return false;
        };
        let held = |name: &str| {
            let mut fields = last.detail.split(' ');
            let held = fields.find_map(|field| field.strip_prefix(name));
            held.and_then(|held| held.parse::<usize>().ok())
        };
        // In larger deployments only some gateways are standbys.
        let is_small = running <= MAX_GATEWAYS_ALL_STANDBY;
        let standbys = if is_small { running } else { MAX_STANDBYS };
        held("held=") >= Some(running) && held("deputies=") >= Some(standbys)
    }

    /// Returns the reasons for the steps of roll-outs, according to the events of the running replicas.
    pub(crate) fn rollout_steps(&self) -> Vec<String> {
        let lines = self.timeline(Kind::RolloutAdvanced);
        lines.into_iter().map(|line| line.detail).collect()
    }

    /// Returns which servers hubs have kept requests away from, according to the events of the running replicas.
    pub(crate) fn avoided_servers(&self) -> Vec<String> {
        let lines = self.timeline(Kind::ServerAvoided);
        lines.into_iter().map(|line| line.detail).collect()
    }

    /// Returns the events of a kind at the running control replicas.
    pub(crate) fn timeline(&self, kind: Kind) -> Vec<event::Line> {
        let filter = Filter {
            number: Some(kind.number()),
            ..Filter::default()
        };
        let replicas = (0..DISK_COUNT.into()).map(|index| self.internal(index));
        let replicas: Vec<_> = replicas.collect();
        let (lines, _) = curlewlift::collect(&replicas, &filter).expect("the events are collected");
        lines
    }

    /// Whether a host accepts callers.
    pub(crate) fn is_ready(&self, index: usize) -> bool {
        let address = address(self.first, index, self.ports.ready);
        std::net::TcpStream::connect(address).is_ok() && self.readiness(index).status == 200
    }

    /// What a host that listens responds when it is asked whether it accepts callers.
    pub(crate) fn readiness(&self, index: usize) -> Answer {
        let address = address(self.first, index, self.ports.ready);
        send_request(address, "GET /api/readiness HTTP/1.1\r\nHost: x", "")
    }

    /// Whether an address response of the host at `directory` names the host at `callers`; none if there is no response.
    pub(crate) fn is_named(directory: SocketAddr, callers: SocketAddr) -> Option<bool> {
        let answer = Self::resolve(directory);
        (answer.status != 0).then(|| answer.body.contains(&callers.to_string()))
    }

    /// The address response of the host at `directory`.
    pub(crate) fn resolve(directory: SocketAddr) -> Answer {
        let head =
            "GET /api/resolve?name=shop.example&region=region-0&zone=hall-0 HTTP/1.1\r\nHost: x";
        KeptConnection::default().send(directory, head, "")
    }

    /// Sends a configuration; returns the status.
    pub(crate) fn put(&self, index: usize, document: &str) -> u16 {
        let head = "POST /api/config/put HTTP/1.1\r\nHost: x";
        send_request(self.control(index), head, document).status
    }

    /// Sends a configuration until it is accepted, and waits until it is in effect at all hosts and they hold their
    /// shares.
    pub(crate) fn configure(&self, document: &str) {
        wait("the configuration is accepted", || {
            self.put(0, document) == 200
        });
        wait("all hosts are ready", || {
            self.indices()
                .all(|index| !self.is_running(index) || self.is_ready(index))
        });
        wait("all hosts hold a share", || self.hold_shares());
        std::thread::sleep(UPDATE_DELAY);
    }

    fn settings(&self, index: usize, first: bool) -> PathBuf {
        let folder = self.folder.join(format!("host-{index}"));
        std::fs::create_dir_all(&folder).expect("the folder is created");
        let seeds: Vec<_> = self.seeds.iter().map(|seed| self.control(*seed)).collect();
        let has_disk = index < usize::from(DISK_COUNT);
        let link = self.link.as_ref().filter(|_| !has_disk);
        let internal = link.map_or(self.ports.internal, SlowLink::get_port);
        let ready = address(self.first, index, self.ports.ready);
        #[allow(clippy::cast_precision_loss)]
        let link_mbit_per_s = self.operators_link.as_ref().map_or(0.0, |link| {
            let rate = link.get_rate() as f64 * 8.0 / 1e6;
            if has_disk { rate * 10.0 } else { rate }
        });
        let settings = json!({
            "ip": address(self.first, index, 0).ip(), "zone": format!("hall-{index}"),
            "zones": { "hall-0": "region-0", "hall-1": "region-1", "hall-2": "region-2" },
            "internal_ports": [internal, internal + 2],
            "seeds": seeds, "bootstrap": first,
            "data_dir": has_disk.then(|| folder.join("data")),
            "listen": {
                "front": self.callers(index), "ready": ready,
                "control": self.control(index), "directory": self.directory(index),
            },
            "fault_tolerance": { "machines": 1 },
            "limits": { "memory_mb": MEMORY_MEGABYTES, "link_mbps": link_mbit_per_s },
            "bounds": {
                "grace_s": 8, "retry_budget_ratio": 0.2, "budget_min_retries": 60,
                "budget_window_s": 10, "quota_window_s": 8, "quota_overage": 0.1,
                "quota_slack": 0, "ttl_max_s": 5, "exposure_share": 0.1, "exposure_slack": 50,
            },
            "cloud": { "address": self.lists[index].0 },
            "contracts": self.contracts, "some_later_field": true,
        });
        let path = folder.join("settings.json");
        // A process that starts meanwhile reads the former file or the new one.
        let new = folder.join("settings.new");
        std::fs::write(&new, settings.to_string()).expect("the settings file is written");
        std::fs::rename(&new, &path).expect("the settings file is replaced");
        path
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        for index in self.indices() {
            self.kill(index);
        }
        // The files of a failed test are kept for analysis.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The memory of a host as its settings state it, in MB. Requests and responses may hold a quarter of it: three bodies of
/// the largest size that the document allows.
const MEMORY_MEGABYTES: f64 = 1.3;

/// The largest number of gateways that are all standbys.
const MAX_GATEWAYS_ALL_STANDBY: usize = 16;

/// The number of standbys among more gateways.
const MAX_STANDBYS: usize = 8;

/// The number of hosts with a disk.
const DISK_COUNT: u8 = 3;

/// The last byte of the next free host address of this process.
static NEXT_ADDRESS: AtomicU8 = AtomicU8::new(1);

/// Reserves addresses for `count` hosts; returns the last byte of the first one. Once all have been used, the first ones are
/// used again: their hosts have ended by then.
fn reserve_addresses(count: u8) -> u8 {
    let start = |next: u8| {
        if next.checked_add(count).is_some() {
            next
        } else {
            1
        }
    };
    let reserve = |next| Some(start(next) + count);
    let former = NEXT_ADDRESS.fetch_update(Ordering::Relaxed, Ordering::Relaxed, reserve);
    start(former.expect("the update is never refused"))
}

/// Returns the address of a host. The hosts of each test have addresses of their own, by process id and test, so that a
/// port found to be free stays free.
fn address(first: u8, index: usize, port: u16) -> SocketAddr {
    let process = std::process::id();
    let [_, high, low, _] = (process << 8).to_be_bytes();
    let index = u8::try_from(index).expect("fits in a byte");
    SocketAddr::from(([127, high.max(1), low, first + index], port))
}

/// Returns five free ports.
fn ports(first: u8) -> Ports {
    let listeners: Vec<_> = (0..5)
        .map(|_| TcpListener::bind(address(first, 0, 0)).expect("a port is free"))
        .collect();
    let ports: Vec<_> = listeners
        .iter()
        .map(|listener| {
            listener
                .local_addr()
                .expect("the listener has an address")
                .port()
        })
        .collect();
    Ports {
        callers: ports[0],
        ready: ports[1],
        control: ports[2],
        directory: ports[3],
        internal: ports[4],
    }
}

/// Returns an entry of the server list.
pub(crate) fn entry(engine: &Engine, service: &str, state: &str) -> Value {
    json!({
        "id": engine.name(), "service": service, "address": engine.address, "zone": engine.hall,
        "version": engine.version, "slots": 4, "state": state, "cold_left_ms": 0,
    })
}

/// Serves the server list, two entries per page.
fn serve_list(server_list: &Arc<Mutex<ListState>>) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let server_list = Arc::clone(server_list);
    let is_silent = Arc::new(AtomicBool::new(false));
    let silent = Arc::clone(&is_silent);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let server_list = Arc::clone(&server_list);
            let silent = Arc::clone(&silent);
            std::thread::spawn(move || {
                let caller = stream.peer_addr().expect("the stream has a peer address");
                let mut pages = 0;
                while let Some(path) = read_path(&mut stream) {
                    if silent.load(Ordering::Relaxed) {
                        continue;
                    }
                    let (endless, entries) = {
                        let server_list = server_list.lock().expect("no panic");
                        (server_list.endless, server_list.entries.clone())
                    };
                    if let Some(endless) = endless {
                        let is_first = !path.contains("page_token");
                        pages = if is_first { 1 } else { pages + 1 };
                        let mut server_list = server_list.lock().expect("no panic");
                        server_list.endless_pages = server_list.endless_pages.max(pages);
                        drop(server_list);
                        endless.send(&mut stream, &entries);
                        continue;
                    }
                    let from: usize = path
                        .split_once("page_token=")
                        .and_then(|(_, token)| token.parse().ok())
                        .unwrap_or(0);
                    let answer = list_response(
                        &mut server_list.lock().expect("the lock is not poisoned"),
                        caller,
                        from,
                    );
                    let _ = stream.write_all(answer.as_bytes());
                }
            });
        }
    });
    (address, is_silent)
}

fn list_response(server_list: &mut ListState, caller: SocketAddr, from: usize) -> String {
    if let Some(retry_after) = &server_list.retry_after {
        server_list
            .rejected_list_calls
            .push((caller, Instant::now()));
        return format!(
            "HTTP/1.1 429 X\r\nRetry-After: {retry_after}\r\nContent-Length: 0\r\n\r\n"
        );
    }
    let body = page(&server_list.entries, from).to_string();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

fn page(server_list: &[Value], from: usize) -> Value {
    // The list may have become shorter since the page before.
    let from = from.min(server_list.len());
    let end = (from + 2).min(server_list.len());
    let next = (end < server_list.len()).then(|| end.to_string());
    json!({ "instances": &server_list[from..end], "next_token": next })
}

/// Reads the path of the next request on a connection.
fn read_path(stream: &mut std::net::TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    head.split(' ').nth(1).map(ToOwned::to_owned)
}

/// Waits until `condition` holds; `what` describes it.
pub(crate) fn wait(what: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(
            started_at.elapsed() < TIMEOUT,
            "not within {TIMEOUT:?}: {what}"
        );
        std::thread::sleep(Duration::from_millis(30));
    }
}

/// Returns an empty folder for one test of this process. The process id is part of its name, because hosts of two
/// concurrent runs of a test would use each other's settings and disks.
pub(crate) fn folder(name: &str) -> PathBuf {
    folder_in(Path::new(env!("CARGO_TARGET_TMPDIR")), name)
}

/// Returns such a folder in another one.
pub(crate) fn folder_in(parent: &Path, name: &str) -> PathBuf {
    let folder = parent.join(format!("{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

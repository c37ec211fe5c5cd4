//! Hosts of the platform on loopback addresses, and its list of engines.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::ops::Range;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use curlewlift::Clock;
use curlewlift::Platform;
use curlewlift::Process;
use curlewlift::core::event;
use curlewlift::core::event::Filter;
use curlewlift::core::event::Kind;
use serde_json::Value;
use serde_json::json;

use super::Engine;
use super::Line;
use super::ask;

/// How long anything may take to come about; no test asserts a time below it.
const PATIENCE: Duration = Duration::from_secs(30);

/// Within what time a gateway is told what stands in the log: a question waits no longer for news.
const TOLD: Duration = Duration::from_millis(300);

/// What the platform's list holds, and who asked for it.
#[derive(Default)]
struct Listed {
    entries: Vec<Value>,
    /// The time after which to ask again, where every call is turned away.
    again: Option<String>,
    /// The calls that were turned away: over which connection each came, and when.
    turned_away: Vec<(SocketAddr, Instant)>,
}

/// Ports, alike on all hosts.
#[derive(Clone, Copy)]
struct Ports {
    callers: u16,
    ready: u16,
    control: u16,
    directory: u16,
    own: u16,
}

/// Hosts, of which the first three have a disk, and the platform's list.
pub(crate) struct Hosts {
    folder: PathBuf,
    /// The last number of the first host's address.
    first: u8,
    ports: Ports,
    /// The places of the hosts that the settings name for a host to begin with.
    seeds: Vec<usize>,
    /// Hosts without a disk reach the others over this line.
    line: Option<Line>,
    processes: Vec<Option<Process>>,
    /// What the hosts' decisions go by.
    clocks: Vec<Clock>,
    list: SocketAddr,
    listed: Arc<Mutex<Listed>>,
    /// The parts of the platform's rules that are in force.
    in_force: &'static [&'static str],
}

impl Hosts {
    /// Three hosts with a disk, where versions are rolled out.
    pub(crate) fn start_rollouts(folder: PathBuf, engines: &[(&Engine, &str)]) -> Self {
        Self::start_with(folder, engines, 0, None, &["base", "rollout"])
    }

    /// Three hosts with a disk.
    pub(crate) fn start(folder: PathBuf, engines: &[(&Engine, &str)]) -> Self {
        Self::start_more(folder, engines, 0, None)
    }

    /// Three hosts with a disk, and `more` without one, which reach the others over `line`.
    pub(crate) fn start_more(
        folder: PathBuf,
        engines: &[(&Engine, &str)],
        more: u8,
        line: Option<u64>,
    ) -> Self {
        Self::start_with(folder, engines, more, line, &["base"])
    }

    fn start_with(
        folder: PathBuf,
        engines: &[(&Engine, &str)],
        more: u8,
        line: Option<u64>,
        in_force: &'static [&'static str],
    ) -> Self {
        let listed = engines
            .iter()
            .map(|(engine, service)| entry(engine, service, "ready"));
        let listed = Listed {
            entries: listed.collect(),
            ..Listed::default()
        };
        let listed = Arc::new(Mutex::new(listed));
        let first = NEXT.fetch_add(DISKS + more, Ordering::Relaxed);
        let ports = ports(first);
        let replicas = (0..DISKS).map(|place| address(first, place.into(), ports.own));
        let line = line.map(|rate| Line::lay(rate, &replicas.collect::<Vec<_>>()));
        let mut hosts = Self {
            folder,
            first,
            ports,
            seeds: (0..DISKS.into()).collect(),
            line,
            processes: (0..DISKS + more).map(|_| None).collect(),
            clocks: (0..DISKS + more).map(|_| Clock::start()).collect(),
            list: serve_list(Arc::clone(&listed)),
            listed,
            in_force,
        };
        for place in hosts.places() {
            hosts.boot(place, true);
        }
        hosts
    }

    /// All places.
    pub(crate) fn places(&self) -> Range<usize> {
        0..self.processes.len()
    }

    /// From now on the settings name these hosts to begin with.
    pub(crate) fn name_seeds(&mut self, seeds: &[usize]) {
        self.seeds = seeds.to_vec();
        for place in self.places() {
            self.settings(place, false);
        }
    }

    /// The platform says that an engine is leaving.
    pub(crate) fn drain(&self, engine: &Engine) {
        let mut listed = self.listed.lock().expect("a lock");
        for entry in listed
            .entries
            .iter_mut()
            .filter(|entry| entry["id"] == engine.id)
        {
            entry["state"] = json!("draining");
        }
    }

    /// The platform's list has these entries from now on.
    pub(crate) fn list(&self, entries: Vec<Value>) {
        self.listed.lock().expect("a lock").entries = entries;
    }

    /// The platform turns all calls for the list away, and says when to ask again.
    pub(crate) fn refuse_list(&self, again: &str) {
        self.listed.lock().expect("a lock").again = Some(again.to_owned());
    }

    /// The calls for the list that were turned away: over which connection each came, and when.
    pub(crate) fn turned_away(&self) -> Vec<(SocketAddr, Instant)> {
        self.listed.lock().expect("a lock").turned_away.clone()
    }

    /// Starts a host with what its disk holds.
    pub(crate) fn boot(&mut self, place: usize, first: bool) {
        let path = self.settings(place, first);
        let platform = Platform::new(path).expect("settings");
        let platform = platform.clock(self.clocks[place].clone());
        self.processes[place] = Some(platform.start().expect("it starts"));
    }

    /// A host comes out of a suspension of that length: its timers have stood still, and its connections are
    /// as they were.
    pub(crate) fn suspend(&self, place: usize, length: Duration) {
        self.clocks[place].simulate_suspend(length);
    }

    /// A host's process is killed.
    pub(crate) fn kill(&mut self, place: usize) {
        if let Some(process) = self.processes[place].take() {
            process.kill();
        }
    }

    /// A host that is down loses its disk.
    pub(crate) fn wipe(&self, place: usize) {
        let disk = self.folder.join(format!("host-{place}")).join("data");
        std::fs::remove_dir_all(disk).expect("it had one");
    }

    /// A host is told to stop; gives its process to wait for.
    pub(crate) fn stop(&mut self, place: usize) -> Process {
        let process = self.processes[place].take().expect("it runs");
        process.stop();
        process
    }

    pub(crate) fn callers(&self, place: usize) -> SocketAddr {
        address(self.first, place, self.ports.callers)
    }

    pub(crate) fn control(&self, place: usize) -> SocketAddr {
        address(self.first, place, self.ports.control)
    }

    pub(crate) fn directory(&self, place: usize) -> SocketAddr {
        address(self.first, place, self.ports.directory)
    }

    /// Whether the replica on a host was let count since the last start of those that run, by their
    /// time lines.
    pub(crate) fn counts_again(&self, place: usize) -> bool {
        let host = address(self.first, place, 0).ip().to_string();
        let lines = self.time_line(Kind::ReplicaCounts);
        lines.iter().any(|line| line.detail == host)
    }

    /// Whether all hosts that run hold a part of what gateways may do without the hub's word.
    fn hold_parts(&self) -> bool {
        let run = self.processes.iter().flatten().count();
        let lines = self.time_line(Kind::PartsHeld);
        let Some(last) = lines.last() else {
            return false;
        };
        let held = |name: &str| {
            let mut fields = last.detail.split(' ');
            let held = fields.find_map(|field| field.strip_prefix(name));
            held.is_some_and(|held| held.parse().is_ok_and(|held: usize| held >= run))
        };
        held("held=") && held("deputies=")
    }

    /// What decided the steps of roll-outs, by the time lines of the replicas that run.
    pub(crate) fn rollout_steps(&self) -> Vec<String> {
        let lines = self.time_line(Kind::RolloutAdvanced);
        lines.into_iter().map(|line| line.detail).collect()
    }

    /// The lines of a kind at the control replicas that run.
    fn time_line(&self, kind: Kind) -> Vec<event::Line> {
        let filter = Filter {
            number: Some(kind.number()),
            ..Filter::default()
        };
        let replicas = (0..DISKS.into()).map(|place| address(self.first, place, self.ports.own));
        let replicas: Vec<_> = replicas.collect();
        let (lines, _) = curlewlift::collect(&replicas, &filter).expect("collected");
        lines
    }

    /// Whether a host takes callers.
    pub(crate) fn is_ready(&self, place: usize) -> bool {
        let address = address(self.first, place, self.ports.ready);
        std::net::TcpStream::connect(address).is_ok()
            && ask(address, "GET /api/readiness HTTP/1.1\r\nHost: x", "").status == 200
    }

    /// Puts a configuration; gives the status.
    pub(crate) fn put(&self, place: usize, document: &str) -> u16 {
        let head = "POST /api/config/put HTTP/1.1\r\nHost: x";
        ask(self.control(place), head, document).status
    }

    /// Puts a configuration until it is taken, and waits until it is in force at all hosts and they
    /// hold their parts.
    pub(crate) fn configure(&self, document: &str) {
        wait("the configuration is taken", || {
            self.put(0, document) == 200
        });
        wait("all are ready", || {
            self.places()
                .all(|place| self.processes[place].is_none() || self.is_ready(place))
        });
        wait("all hold a part", || self.hold_parts());
        std::thread::sleep(TOLD);
    }

    fn settings(&self, place: usize, first: bool) -> PathBuf {
        let folder = self.folder.join(format!("host-{place}"));
        std::fs::create_dir_all(&folder).expect("a folder");
        let seeds: Vec<_> = self.seeds.iter().map(|seed| self.control(*seed)).collect();
        let has_disk = place < usize::from(DISKS);
        let line = self.line.as_ref().filter(|_| !has_disk);
        let own = line.map_or(self.ports.own, Line::get_port);
        let ready = address(self.first, place, self.ports.ready);
        let settings = json!({
            "ip": address(self.first, place, 0).ip(), "zone": format!("hall-{place}"),
            "zones": { "hall-0": "region-0", "hall-1": "region-1", "hall-2": "region-2" },
            "internal_ports": [own, own],
            "seeds": seeds, "bootstrap": first,
            "data_dir": has_disk.then(|| folder.join("data")),
            "listen": {
                "front": self.callers(place), "ready": ready,
                "control": self.control(place), "directory": self.directory(place),
            },
            "fault_tolerance": { "machines": 1 },
            "bounds": {
                "grace_s": 8, "retry_budget_ratio": 0.2, "budget_min_retries": 60,
                "budget_window_s": 10, "quota_window_s": 8, "quota_overage": 0.1,
                "quota_slack": 0, "ttl_max_s": 5, "exposure_share": 0.1, "exposure_slack": 50,
            },
            "cloud": { "address": self.list },
            "contracts": self.in_force, "some_later_field": true,
        });
        let path = folder.join("settings.json");
        std::fs::write(&path, settings.to_string()).expect("a file");
        path
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        for place in self.places() {
            self.kill(place);
        }
        // What a test that fails has left is of use.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// How many hosts have a disk.
const DISKS: u8 = 3;

/// The first of the addresses that the next test's hosts have, within the process.
static NEXT: AtomicU8 = AtomicU8::new(1);

/// Each test's hosts have addresses of their own, by the process's number and the test's: a port
/// that is free there when it is looked for stays free.
fn address(first: u8, place: usize, port: u16) -> SocketAddr {
    let process = std::process::id();
    let [_, high, low, _] = (process << 8).to_be_bytes();
    let place = u8::try_from(place).expect("few");
    SocketAddr::from(([127, high.max(1), low, first + place], port))
}

/// Five ports that are free now.
fn ports(first: u8) -> Ports {
    let listeners: Vec<_> = (0..5)
        .map(|_| TcpListener::bind(address(first, 0, 0)).expect("a port"))
        .collect();
    let ports: Vec<_> = listeners
        .iter()
        .map(|listener| listener.local_addr().expect("an address").port())
        .collect();
    Ports {
        callers: ports[0],
        ready: ports[1],
        control: ports[2],
        directory: ports[3],
        own: ports[4],
    }
}

/// An entry of the list.
pub(crate) fn entry(engine: &Engine, service: &str, state: &str) -> Value {
    json!({
        "id": engine.name(), "service": service, "address": engine.address, "zone": "hall-0",
        "version": "v1", "slots": 4, "state": state, "cold_left_ms": 0,
    })
}

/// Answers the list, two entries a page.
fn serve_list(listed: Arc<Mutex<Listed>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let listed = Arc::clone(&listed);
            std::thread::spawn(move || {
                let caller = stream.peer_addr().expect("a caller");
                while let Some(path) = asked(&mut stream) {
                    let from: usize = path
                        .split_once("page_token=")
                        .and_then(|(_, token)| token.parse().ok())
                        .unwrap_or(0);
                    let answer = list_answer(&mut listed.lock().expect("a lock"), caller, from);
                    let _ = stream.write_all(answer.as_bytes());
                }
            });
        }
    });
    address
}

fn list_answer(listed: &mut Listed, caller: SocketAddr, from: usize) -> String {
    if let Some(again) = &listed.again {
        listed.turned_away.push((caller, Instant::now()));
        return format!("HTTP/1.1 429 X\r\nRetry-After: {again}\r\nContent-Length: 0\r\n\r\n");
    }
    let body = page(&listed.entries, from).to_string();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

fn page(listed: &[Value], from: usize) -> Value {
    let end = (from + 2).min(listed.len());
    let next = (end < listed.len()).then(|| end.to_string());
    json!({ "instances": &listed[from..end], "next_token": next })
}

/// The path that is asked for next on a connection.
fn asked(stream: &mut std::net::TcpStream) -> Option<String> {
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

/// Waits for something to come about.
pub(crate) fn wait(what: &str, mut come: impl FnMut() -> bool) {
    let began = Instant::now();
    while !come() {
        assert!(
            began.elapsed() < PATIENCE,
            "not within {PATIENCE:?}: {what}"
        );
        std::thread::sleep(Duration::from_millis(30));
    }
}

/// A fresh folder for one test, of this process alone: hosts of two runs of one test would take each other's
/// settings and disks.
pub(crate) fn folder(name: &str) -> PathBuf {
    let name = format!("{name}-{}", std::process::id());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

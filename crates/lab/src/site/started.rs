//! Starts control replicas and entries, and gives them their first configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use curlewlift::Control;
use curlewlift::Entry;
use curlewlift::Operator;
use curlewlift::Process;
use curlewlift_core::code::Refusal;
use curlewlift_core::id;
use curlewlift_core::view::LeaseTiming;

/// The operators' first key.
pub const ROOT_KEY: &str = "root-key";

/// A control replica or entry that was started.
struct Part {
    process: Option<Process>,
    rpc: SocketAddr,
    http: Option<SocketAddr>,
}

/// A whole system on loopback.
pub struct Site {
    folder: PathBuf,
    lease: LeaseTiming,
    halls: Vec<id::Hall>,
    control: Vec<Part>,
    entries: Vec<Part>,
    number: u64,
}

/// A lease that is short, so that tests need not wait long.
fn quick_lease() -> LeaseTiming {
    LeaseTiming {
        duration: Duration::from_secs(1),
        max_drift: Duration::from_millis(100),
        renew_interval: Duration::from_millis(150),
        ..LeaseTiming::default()
    }
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// # Starting
impl Site {
    /// Control replicas in `folder` and entries, spread over `halls`; ready once this returns.
    ///
    /// # Panics
    ///
    /// If a part cannot be started or does not become ready.
    #[must_use]
    pub fn start(folder: &Path, halls: &[&str], control: usize, entries: usize) -> Self {
        Self::start_with(folder, halls, control, entries, quick_lease())
    }

    /// The same with leases of another length.
    ///
    /// # Panics
    ///
    /// If a part cannot be started or does not become ready.
    #[must_use]
    pub fn start_with(
        folder: &Path,
        halls: &[&str],
        control: usize,
        entries: usize,
        lease: LeaseTiming,
    ) -> Self {
        let mut site = Self {
            folder: folder.to_owned(),
            lease,
            halls: halls
                .iter()
                .map(|hall| hall.parse().expect("a name"))
                .collect(),
            control: Vec::new(),
            entries: Vec::new(),
            number: 0,
        };
        site.start_control(control);
        site.run("create operator root key_hash=ROOT right=write");
        site.name_control();
        for place in 0..entries {
            let hall = site.hall(place);
            let name = format!("e{}", place + 1);
            let (rpc, rpc_address) = listen();
            let (http, http_address) = listen();
            site.run(&format!(
                "create host {name} role=entry hall={hall} rpc={rpc_address} http={http_address}"
            ));
            site.start_entry(&name, place, rpc, http);
        }
        site.wait_for_view(entries);
        site
    }

    fn hall(&self, place: usize) -> id::Hall {
        self.halls[place % self.halls.len()].clone()
    }

    fn start_control(&mut self, count: usize) {
        let listeners: Vec<_> = (0..count).map(|_| listen()).collect();
        let peers: BTreeMap<id::Host, SocketAddr> = listeners
            .iter()
            .enumerate()
            .map(|(place, (_, address))| (control_name(place), *address))
            .collect();
        for (place, (listener, rpc)) in listeners.into_iter().enumerate() {
            let process = self.control_process(place, listener, peers.clone(), place == 0);
            self.control.push(Part {
                process: Some(process),
                rpc,
                http: None,
            });
        }
    }

    fn control_process(
        &self,
        place: usize,
        listener: TcpListener,
        peers: BTreeMap<id::Host, SocketAddr>,
        found: bool,
    ) -> Process {
        let name = control_name(place);
        let control = Control::new(name.clone(), listener)
            .data(self.folder.join(name.as_str()))
            .found(found)
            .peers(peers)
            .lease(self.lease);
        control.start().expect("a control replica starts")
    }

    fn name_control(&mut self) {
        for place in 0..self.control.len() {
            let hall = self.hall(place);
            let rpc = self.control[place].rpc;
            let name = control_name(place);
            self.run(&format!(
                "create host {name} role=control hall={hall} rpc={rpc}"
            ));
        }
    }

    fn start_entry(&mut self, name: &str, place: usize, rpc: TcpListener, http: TcpListener) {
        let rpc_address = rpc.local_addr().expect("an address");
        let http_address = http.local_addr().expect("an address");
        let entry = Entry::new(name.parse().expect("a name"), self.hall(place), rpc, http)
            .control(self.control_addresses())
            .lease(self.lease)
            .keep(Duration::from_millis(300));
        self.entries.push(Part {
            process: Some(entry.start().expect("an entry starts")),
            rpc: rpc_address,
            http: Some(http_address),
        });
    }

    /// Waits until a view with `count` members that take new work is active at every entry that
    /// runs.
    ///
    /// # Panics
    ///
    /// If that does not happen within half a minute.
    pub fn wait_for_view(&self, count: usize) {
        let running = self
            .entries
            .iter()
            .enumerate()
            .filter(|part| part.1.process.is_some());
        let places: Vec<_> = running.map(|part| part.0).collect();
        self.wait_for_view_of(&places, count);
    }

    /// Waits until a view with `count` members that take new work is active at these entries.
    ///
    /// # Panics
    ///
    /// If that does not happen within half a minute.
    pub fn wait_for_view_of(&self, places: &[usize], count: usize) {
        for _ in 0..600 {
            let view = self.ask("show view where leaving = false as json");
            let members = view.unwrap_or_default().lines().count();
            let ready = places
                .iter()
                .all(|place| members_at(self.entry(*place)) == count);
            if members == count && ready {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("no view with {count} members: {:?}", self.ask("show view"));
    }
}

/// Members that the entry at `http` tells callers of; 0 where it has no lease.
fn members_at(http: SocketAddr) -> usize {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let client = crate::client::Client::new("none");
    let path = "/curlewlift/addresses";
    let ask = client.send(http, axum::http::Method::GET, path, &[], String::new());
    let reply = runtime.expect("a runtime").block_on(ask);
    let json: serde_json::Value = serde_json::from_str(&reply.body).unwrap_or_default();
    json["addresses"].as_array().map_or(0, Vec::len)
}

fn control_name(place: usize) -> id::Host {
    format!("c{}", place + 1).parse().expect("a name")
}

/// # Operating
impl Site {
    /// Gives the next command as the first operator; `ROOT` stands for its key's hash.
    ///
    /// # Panics
    ///
    /// If it is refused.
    pub fn run(&mut self, line: &str) -> String {
        let number = self.next_number();
        let line = line.replace("ROOT", &curlewlift::digest(ROOT_KEY));
        let answer = self.operator().run(number, &line);
        answer.unwrap_or_else(|why| panic!("{line}: {why}"))
    }

    /// A number that no command has had.
    pub fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Asks as the first operator.
    ///
    /// # Errors
    ///
    /// The refusal.
    pub fn ask(&self, line: &str) -> Result<String, Refusal> {
        self.operator().run(0, line)
    }

    /// The first operator.
    ///
    /// # Panics
    ///
    /// Never.
    #[must_use]
    pub fn operator(&self) -> Operator {
        let name = "root".parse().expect("a name");
        Operator::new(name, ROOT_KEY, self.control_addresses())
    }

    /// Adds the tiers `live`, `quick`, `steady` and `later`.
    pub fn tiers(&mut self) {
        for (rank, tier) in ["live", "quick", "steady", "later"].iter().enumerate() {
            self.run(&format!("create tier {tier} rank={rank}"));
        }
    }

    /// Adds a customer with the bearer key `key-NAME`, and fields beside.
    pub fn customer(&mut self, name: &str, tier: &str, fields: &str) {
        let hash = curlewlift::digest(&format!("key-{name}"));
        self.run(&format!(
            "create customer {name} key_hash={hash} tier={tier} {fields}"
        ));
    }

    /// Adds a backend server, and fields beside.
    pub fn server(&mut self, name: &str, service: &str, address: SocketAddr, fields: &str) {
        let hall = self.hall(usize::try_from(self.number).unwrap_or(0));
        self.run(&format!(
            "create server {name} service={service} address={address} hall={hall} {fields}"
        ));
    }

    /// Waits until the newest revision is in force at every entry that runs.
    ///
    /// # Panics
    ///
    /// If that does not happen within half a minute.
    pub fn wait_in_force(&self) {
        for _ in 0..600 {
            let rows = self.ask("show revision as json").unwrap_or_default();
            let read = |row: &str| serde_json::from_str::<serde_json::Value>(row).ok();
            let rows: Vec<_> = rows.lines().filter_map(read).collect();
            let newest = rows.iter().find(|row| row["name"] == "control");
            let newest = newest.and_then(|row| row["revision"].as_u64());
            let running = self
                .entries
                .iter()
                .enumerate()
                .filter(|part| part.1.process.is_some());
            let mut names = running.map(|(place, _)| format!("e{}", place + 1));
            let is_there = |name: String| {
                rows.iter()
                    .any(|row| row["name"] == name.as_str() && row["revision"].as_u64() == newest)
            };
            if newest.is_some() && names.all(is_there) {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("the newest revision is not in force everywhere");
    }
}

/// # Control replicas
impl Site {
    /// Control replicas that count and answer, by the log of whichever leads.
    #[must_use]
    pub fn replicas(&self) -> usize {
        let rows = self.ask("show replicas where voter = true and answers = true as json");
        rows.map_or(0, |rows| rows.lines().count())
    }

    /// Waits until so many control replicas count.
    ///
    /// # Panics
    ///
    /// If that does not happen within half a minute.
    pub fn wait_for_replicas(&self, count: usize) {
        for _ in 0..600 {
            if self.replicas() == count {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("{} replicas count", self.replicas());
    }
}

/// # Parts
impl Site {
    /// Where control is reached.
    #[must_use]
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.control.iter().map(|part| part.rpc).collect()
    }

    /// Where every part answers other processes.
    #[must_use]
    pub fn rpc_addresses(&self) -> Vec<SocketAddr> {
        self.control
            .iter()
            .chain(&self.entries)
            .map(|part| part.rpc)
            .collect()
    }

    /// Where callers reach the entry `place`.
    ///
    /// # Panics
    ///
    /// If there is no such entry.
    #[must_use]
    pub fn entry(&self, place: usize) -> SocketAddr {
        self.entries[place].http.expect("an entry has an address")
    }

    /// Ends an entry as if it had been killed.
    pub fn kill_entry(&mut self, place: usize) {
        if let Some(process) = self.entries[place].process.take() {
            process.kill();
        }
    }

    /// Asks an entry to stop, and takes its process.
    ///
    /// # Panics
    ///
    /// If it does not run.
    pub fn stop_entry(&mut self, place: usize) -> Process {
        let process = self.entries[place].process.take().expect("it runs");
        process.stop();
        process
    }

    /// Ends a control replica as if it had been killed.
    pub fn kill_control(&mut self, place: usize) {
        if let Some(process) = self.control[place].process.take() {
            process.kill();
        }
    }

    /// Starts a control replica again, on its old address and with what its folder holds.
    ///
    /// # Panics
    ///
    /// If its address cannot be had again.
    pub fn restart_control(&mut self, place: usize) {
        let rpc = self.control[place].rpc;
        let bind = || TcpListener::bind(rpc).ok();
        let retry = |_| {
            std::thread::sleep(Duration::from_millis(50));
            bind()
        };
        let listener = bind()
            .or_else(|| (0..100).find_map(retry))
            .expect("the old address");
        let parts = self.control.iter().enumerate();
        let peers = parts
            .map(|(place, part)| (control_name(place), part.rpc))
            .collect();
        let process = self.control_process(place, listener, peers, false);
        self.control[place].process = Some(process);
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let parts = self.entries.iter_mut().chain(&mut self.control);
        for process in parts.filter_map(|part| part.process.take()) {
            process.kill();
        }
    }
}

//! Starts control replicas and entries, and creates their initial configuration.

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

/// The key of the first operator.
pub const ROOT_KEY: &str = "root-key";

/// A control replica or entry of the site.
struct Member {
    process: Option<Process>,
    rpc: SocketAddr,
    http: Option<SocketAddr>,
}

/// A whole system on the loopback interface.
pub struct Site {
    folder: PathBuf,
    lease: LeaseTiming,
    halls: Vec<id::Hall>,
    control: Vec<Member>,
    entries: Vec<Member>,
    last_number: u64,
}

/// Returns a short lease, so that tests need not wait long.
fn short_lease() -> LeaseTiming {
    LeaseTiming {
        duration: Duration::from_secs(1),
        max_drift: Duration::from_millis(100),
        renew_interval: Duration::from_millis(150),
        ..LeaseTiming::default()
    }
}

fn bind_loopback() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    (listener, address)
}

/// # Starting
impl Site {
    /// Starts control replicas, which store their data in `folder`, and entries, spread over `halls`, and waits until
    /// they are ready.
    ///
    /// # Panics
    ///
    /// If a process cannot be started or does not become ready.
    #[must_use]
    pub fn start(folder: &Path, halls: &[&str], control: usize, entries: usize) -> Self {
        Self::start_with(folder, halls, control, entries, short_lease())
    }

    /// Starts a site with leases of another length.
    ///
    /// # Panics
    ///
    /// If a process cannot be started or does not become ready.
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
                .map(|hall| hall.parse().expect("a valid name"))
                .collect(),
            control: Vec::new(),
            entries: Vec::new(),
            last_number: 0,
        };
        site.start_control(control);
        site.run("create operator root key_hash=ROOT right=write");
        site.register_control();
        for index in 0..entries {
            let hall = site.hall(index);
            let name = format!("e{}", index + 1);
            let (rpc, rpc_address) = bind_loopback();
            let (http, http_address) = bind_loopback();
            site.run(&format!(
                "create host {name} role=entry hall={hall} rpc={rpc_address} http={http_address}"
            ));
            site.start_entry(&name, index, rpc, http);
        }
        site.wait_for_view(entries);
        site
    }

    fn hall(&self, index: usize) -> id::Hall {
        self.halls[index % self.halls.len()].clone()
    }

    fn start_control(&mut self, count: usize) {
        let listeners: Vec<_> = (0..count).map(|_| bind_loopback()).collect();
        let peers: BTreeMap<id::Host, SocketAddr> = listeners
            .iter()
            .enumerate()
            .map(|(index, (_, address))| (control_name(index), *address))
            .collect();
        for (index, (listener, rpc)) in listeners.into_iter().enumerate() {
            let process = self.control_process(index, listener, peers.clone(), index == 0);
            self.control.push(Member {
                process: Some(process),
                rpc,
                http: None,
            });
        }
    }

    fn control_process(
        &self,
        index: usize,
        listener: TcpListener,
        peers: BTreeMap<id::Host, SocketAddr>,
        found: bool,
    ) -> Process {
        let name = control_name(index);
        let control = Control::new(name.clone(), listener)
            .data(self.folder.join(name.as_str()))
            .found(found)
            .peers(peers)
            .lease(self.lease);
        control.start().expect("a control replica starts")
    }

    fn register_control(&mut self) {
        for index in 0..self.control.len() {
            let hall = self.hall(index);
            let rpc = self.control[index].rpc;
            let name = control_name(index);
            self.run(&format!(
                "create host {name} role=control hall={hall} rpc={rpc}"
            ));
        }
    }

    fn start_entry(&mut self, name: &str, index: usize, rpc: TcpListener, http: TcpListener) {
        let rpc_address = rpc.local_addr().expect("the listener has an address");
        let http_address = http.local_addr().expect("the listener has an address");
        let entry = Entry::new(
            name.parse().expect("a valid name"),
            self.hall(index),
            rpc,
            http,
        )
        .control(self.control_addresses())
        .lease(self.lease)
        .keep(Duration::from_millis(300));
        self.entries.push(Member {
            process: Some(entry.start().expect("an entry starts")),
            rpc: rpc_address,
            http: Some(http_address),
        });
    }

    /// Waits until a view with `count` members that accept new work is active at every running entry.
    ///
    /// # Panics
    ///
    /// If that does not happen within half a minute.
    pub fn wait_for_view(&self, count: usize) {
        let running = self
            .entries
            .iter()
            .enumerate()
            .filter(|member| member.1.process.is_some());
        let indices: Vec<_> = running.map(|member| member.0).collect();
        self.wait_for_view_of(&indices, count);
    }

    /// Waits until a view with `count` members that accept new work is active at these entries.
    ///
    /// # Panics
    ///
    /// If that does not happen within half a minute.
    pub fn wait_for_view_of(&self, indices: &[usize], count: usize) {
        for _ in 0..600 {
            let view = self.query("show view where leaving = false as json");
            let members = view.unwrap_or_default().lines().count();
            let ready = indices
                .iter()
                .all(|index| members_at(self.entry(*index)) == count);
            if members == count && ready {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!(
            "no view with {count} members: {:?}",
            self.query("show view")
        );
    }
}

/// How many members the entry at `http` announces to callers; 0 if it has no lease.
fn members_at(http: SocketAddr) -> usize {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let client = crate::client::Client::new("none");
    let path = "/curlewlift/addresses";
    let request = client.send(http, axum::http::Method::GET, path, &[], String::new());
    let reply = runtime.expect("the runtime starts").block_on(request);
    let json: serde_json::Value = serde_json::from_str(&reply.body).unwrap_or_default();
    json["addresses"].as_array().map_or(0, Vec::len)
}

fn control_name(index: usize) -> id::Host {
    format!("c{}", index + 1).parse().expect("a valid name")
}

/// # Operating
impl Site {
    /// Runs the next command as the first operator; `ROOT` stands for the hash of its key.
    ///
    /// # Panics
    ///
    /// If the command is refused.
    pub fn run(&mut self, line: &str) -> String {
        let number = self.next_number();
        let line = line.replace("ROOT", &curlewlift::digest(ROOT_KEY));
        let answer = self.operator().run(number, &line);
        answer.unwrap_or_else(|why| panic!("{line}: {why}"))
    }

    /// Returns a command number that was not used before.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Runs a query as the first operator.
    ///
    /// # Errors
    ///
    /// The refusal of the query.
    pub fn query(&self, line: &str) -> Result<String, Refusal> {
        self.operator().run(0, line)
    }

    /// The first operator.
    ///
    /// # Panics
    ///
    /// Never.
    #[must_use]
    pub fn operator(&self) -> Operator {
        let name = "root".parse().expect("a valid name");
        Operator::new(name, ROOT_KEY, self.control_addresses())
    }

    /// Creates the tiers `live`, `quick`, `steady` and `later`.
    pub fn create_tiers(&mut self) {
        for (rank, tier) in ["live", "quick", "steady", "later"].iter().enumerate() {
            self.run(&format!("create tier {tier} rank={rank}"));
        }
    }

    /// Creates a customer with the bearer key `key-NAME` and further `fields`.
    pub fn create_customer(&mut self, name: &str, tier: &str, fields: &str) {
        let hash = curlewlift::digest(&format!("key-{name}"));
        self.run(&format!(
            "create customer {name} key_hash={hash} tier={tier} {fields}"
        ));
    }

    /// Creates a backend server with further `fields`.
    pub fn create_server(&mut self, name: &str, service: &str, address: SocketAddr, fields: &str) {
        let hall = self.hall(usize::try_from(self.last_number).unwrap_or(0));
        self.run(&format!(
            "create server {name} service={service} address={address} hall={hall} {fields}"
        ));
    }

    /// Waits until the newest revision is in effect at every running entry.
    ///
    /// # Panics
    ///
    /// If that does not happen within half a minute.
    pub fn wait_for_revision(&self) {
        for _ in 0..600 {
            let rows = self.query("show revision as json").unwrap_or_default();
            let read = |row: &str| serde_json::from_str::<serde_json::Value>(row).ok();
            let rows: Vec<_> = rows.lines().filter_map(read).collect();
            let newest = rows.iter().find(|row| row["name"] == "control");
            let newest = newest.and_then(|row| row["revision"].as_u64());
            let running = self
                .entries
                .iter()
                .enumerate()
                .filter(|member| member.1.process.is_some());
            let mut names = running.map(|(index, _)| format!("e{}", index + 1));
            let has_newest = |name: String| {
                rows.iter()
                    .any(|row| row["name"] == name.as_str() && row["revision"].as_u64() == newest)
            };
            if newest.is_some() && names.all(has_newest) {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("the newest revision is not in effect at every entry");
    }
}

/// # Control replicas
impl Site {
    /// How many control replicas are voters and respond, according to the leader.
    #[must_use]
    pub fn replicas(&self) -> usize {
        let rows = self.query("show replicas where voter = true and answers = true as json");
        rows.map_or(0, |rows| rows.lines().count())
    }

    /// Waits until `count` control replicas are voters and respond.
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
        panic!(
            "{} control replicas are voters and respond, not {count}",
            self.replicas()
        );
    }
}

/// # Processes
impl Site {
    /// The addresses of the control replicas.
    #[must_use]
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.control.iter().map(|member| member.rpc).collect()
    }

    /// The addresses at which all processes serve other processes.
    #[must_use]
    pub fn rpc_addresses(&self) -> Vec<SocketAddr> {
        self.control
            .iter()
            .chain(&self.entries)
            .map(|member| member.rpc)
            .collect()
    }

    /// The address at which callers reach the entry `index`.
    ///
    /// # Panics
    ///
    /// If there is no such entry.
    #[must_use]
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.entries[index].http.expect("an entry has an address")
    }

    /// Kills an entry.
    pub fn kill_entry(&mut self, index: usize) {
        if let Some(process) = self.entries[index].process.take() {
            process.kill();
        }
    }

    /// Asks an entry to stop, and returns its process.
    ///
    /// # Panics
    ///
    /// If it is not running.
    pub fn stop_entry(&mut self, index: usize) -> Process {
        let process = self.entries[index]
            .process
            .take()
            .expect("the entry is running");
        process.stop();
        process
    }

    /// Kills a control replica.
    pub fn kill_control(&mut self, index: usize) {
        if let Some(process) = self.control[index].process.take() {
            process.kill();
        }
    }

    /// Restarts a control replica, at its old address and with the data in its folder.
    ///
    /// # Panics
    ///
    /// If its address is not free.
    pub fn restart_control(&mut self, index: usize) {
        let rpc = self.control[index].rpc;
        let bind = || TcpListener::bind(rpc).ok();
        let retry = |_| {
            std::thread::sleep(Duration::from_millis(50));
            bind()
        };
        let listener = bind()
            .or_else(|| (0..100).find_map(retry))
            .expect("the old address is free");
        let members = self.control.iter().enumerate();
        let peers = members
            .map(|(index, member)| (control_name(index), member.rpc))
            .collect();
        let process = self.control_process(index, listener, peers, false);
        self.control[index].process = Some(process);
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let members = self.entries.iter_mut().chain(&mut self.control);
        for process in members.filter_map(|member| member.process.take()) {
            process.kill();
        }
    }
}

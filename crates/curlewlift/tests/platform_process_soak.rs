//! Hosts as processes of their own, under signals, changes and silent servers in overlapping series: no response that a
//! process has begun is cut off, nothing runs twice, and no acknowledged configuration is lost.
//!
//! `SOAK_SEEDS=50` runs more seeds, `SOAK_FIRST_SEED` others, `SOAK_HOSTS` sets how many hosts have no disk, `SOAK_FOLDER`
//! where hosts keep their files, and `SOAK_PROGRAM` names another build of the program. See docs/soak.md.

mod platform;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::sys::signal::Signal;
use platform::Answer;
use platform::EVENTS;
use platform::End;
use platform::Engine;
use platform::Flow;
use platform::Hosts;
use platform::KeptConnection;
use platform::add_route;
use platform::document;
use platform::folder_in;
use platform::setting;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;

const CALLERS_PER_HOST: u64 = 4;
const SOAK_SECONDS: f64 = 14.0;
/// The time from SIGTERM to SIGKILL, as the settings state it.
const GRACE_SECONDS: f64 = 8.0;
/// The last sixth of the grace begins here.
const LATE_GRACE_SECONDS: f64 = GRACE_SECONDS * 5.0 / 6.0;
/// Requests that are sent later than this after SIGTERM must not be cut off.
const CUT_TOLERANCE_SECONDS: f64 = 3.0;
/// How long before a request a disturbance of its host excuses a cut.
const CONTACT_SECONDS: f64 = 3.0;
/// How soon after a request a connection may end unread.
const LOSS_SLACK_SECONDS: f64 = 0.2;
/// How soon hosts must be ready and named after the last fault.
const RECOVERY_SECONDS: f64 = 12.0;
/// How long callers keep addresses at most: three times what the response says.
const MAX_KEPT_SECONDS: f64 = 3.0;
const DEADLINES_MS: [u32; 3] = [15_000, 15_000, 8_000];
const MIN_ROUTE_TIMEOUT_MS: u32 = 9_000;
const PATHS: [&str; 6] = [
    "/stream/", "/stream/", "/resume/", "/safe/", "/once/", "/extra/",
];

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("the lock is not poisoned")
}

fn pause(random: &mut SmallRng, millis: std::ops::Range<u64>) {
    thread::sleep(Duration::from_millis(random.random_range(millis)));
}

/// A time in which a host was stopping, or down or suspended without a plan. Times are in seconds from the start.
#[derive(Debug)]
struct Span {
    host: usize,
    is_planned: bool,
    from: f64,
    until: f64,
}

/// A request, and what its caller saw.
#[derive(Debug)]
struct Outcome {
    id: String,
    host: usize,
    path: &'static str,
    play: String,
    deadline: f64,
    sent: f64,
    ended: f64,
    answer: Answer,
}

impl Outcome {
    fn flow(&self) -> Option<Flow> {
        self.play.strip_prefix("flow ").map(Flow::parse)
    }
}

/// What was done, and what was seen.
struct Record {
    started_at: Instant,
    spans: Mutex<Vec<Span>>,
    outcomes: Mutex<Vec<Outcome>>,
    /// The configurations that were sent, and whether each was acknowledged.
    documents: Mutex<BTreeMap<u64, (Value, bool)>>,
    violations: Mutex<Vec<String>>,
}

impl Record {
    fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    fn begin(&self, host: usize, is_planned: bool) -> f64 {
        let (from, until) = (self.now(), f64::INFINITY);
        lock(&self.spans).push(Span {
            host,
            is_planned,
            from,
            until,
        });
        from
    }

    fn end(&self, host: usize) {
        let mut spans = lock(&self.spans);
        let span = spans.iter_mut().rfind(|span| span.host == host);
        span.expect("it has begun").until = self.now();
    }

    fn violate(&self, text: String) {
        lock(&self.violations).push(text);
    }
}

/// Disturbs hosts and servers.
struct Faults<'a> {
    hosts: &'a Mutex<Hosts>,
    record: &'a Record,
}

impl Faults<'_> {
    fn is_over(&self) -> bool {
        self.record.now() > SOAK_SECONDS
    }

    fn signal(&self, host: usize, signal: Signal) {
        lock(self.hosts).program(host).signal(signal);
    }

    fn is_ended(&self, host: usize) -> bool {
        lock(self.hosts).program(host).is_ended()
    }

    /// Lets one fault of a host follow another; the host is up afterwards.
    fn disturb_host(&self, host: usize, mut random: SmallRng) {
        loop {
            pause(&mut random, 100..5_000);
            if self.is_ended(host) {
                self.record
                    .violate(format!("host {host} ended without an order"));
                lock(self.hosts).boot(host, false);
            }
            match random.random_range(0..8) {
                _ if self.is_over() => return,
                0..4 => self.stop(host, &mut random),
                4 => {
                    self.record.begin(host, false);
                    lock(self.hosts).kill(host);
                    pause(&mut random, 0..3_000);
                    lock(self.hosts).boot(host, false);
                    self.record.end(host);
                }
                5 => {
                    self.record.begin(host, false);
                    self.signal(host, Signal::SIGSTOP);
                    pause(&mut random, 100..3_000);
                    self.signal(host, Signal::SIGCONT);
                    self.record.end(host);
                }
                _ => {
                    let seeds = [random.random_range(0..3), 3];
                    lock(self.hosts).set_seeds(&seeds);
                    self.signal(host, Signal::SIGHUP);
                }
            }
        }
    }

    /// Restarts a host as planned, with another SIGTERM or a SIGHUP now and then.
    fn stop(&self, host: usize, random: &mut SmallRng) {
        let since = self.record.begin(host, true);
        self.signal(host, Signal::SIGTERM);
        while !self.is_ended(host) {
            let stopping = self.record.now() - since;
            if stopping > GRACE_SECONDS {
                let at = SystemTime::now().duration_since(UNIX_EPOCH);
                let text = format!("host {host} runs {stopping:.3} s after SIGTERM, at {at:?}");
                self.record.violate(text);
                break;
            }
            pause(random, 5..15);
            if random.random_bool(0.002) {
                let again = [Signal::SIGTERM, Signal::SIGHUP][random.random_range(0..2)];
                self.signal(host, again);
            }
        }
        self.record.end(host);
        lock(self.hosts).kill(host);
        pause(random, 0..2_000);
        lock(self.hosts).boot(host, false);
    }

    /// Lets the platform's list fail for a time, or all servers be silent, now and then twice with nothing between.
    fn disturb_servers(&self, mut random: SmallRng) {
        while !self.is_over() {
            pause(&mut random, 200..3_000);
            if random.random() {
                lock(self.hosts).reject_list_calls("0.3");
                pause(&mut random, 300..3_000);
                lock(self.hosts).accept_list_calls();
            } else {
                let time = Duration::from_millis(random.random_range(500..1_500));
                Flow::silence_all(Instant::now() + time * random.random_range(1..3));
            }
        }
    }

    /// Sends new configurations to random hosts.
    fn change(&self, mut random: SmallRng, addresses: &[Addresses]) {
        for version in 8.. {
            pause(&mut random, 100..1_500);
            if self.is_over() {
                return;
            }
            let document = random_document(version, &mut random);
            lock(&self.record.documents).insert(version, (document.clone(), false));
            let host = addresses[random.random_range(0..addresses.len())];
            let head = "POST /api/config/put HTTP/1.1\r\nHost: x";
            let answer = KeptConnection::default().send(host.control, head, &document.to_string());
            lock(&self.record.documents).insert(version, (document, answer.status == 200));
        }
    }

    /// Checks that all hosts are soon ready and named, and read the newest configuration.
    fn check_recovery(&self, addresses: &[Addresses]) {
        let until = self.record.now() + RECOVERY_SECONDS;
        for (host, at) in addresses.iter().enumerate() {
            let directory = addresses[(host + 1) % addresses.len()].directory;
            let is_back = || {
                lock(self.hosts).is_ready(host)
                    && Hosts::is_named(directory, at.callers) == Some(true)
                    && self.reads_newest(at.control)
            };
            while !is_back() {
                if self.record.now() > until {
                    self.record
                        .violate(format!("host {host} is not back in time"));
                    break;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// Whether a host reads a configuration as it was sent, and none before the newest acknowledged one.
    fn reads_newest(&self, control: SocketAddr) -> bool {
        let head = "GET /api/config/get HTTP/1.1\r\nHost: x";
        let read = KeptConnection::default().send(control, head, "").body;
        let read: Value = serde_json::from_str(&read).unwrap_or_default();
        let documents = lock(&self.record.documents);
        let newest = documents
            .iter()
            .rfind(|(_, (_, acknowledged))| *acknowledged);
        let newest = newest.map_or(0, |(version, _)| *version);
        let mut from_newest = documents.range(newest..);
        from_newest.any(|(_, (sent, _))| *sent == read)
    }
}

/// Returns a document whose routes are public, with random time-outs, weights and idle time, with or without another route.
fn random_document(version: u64, random: &mut SmallRng) -> Value {
    let mut document = document(version);
    if random.random() {
        add_route(&mut document, "extra");
    }
    document["limits"]["idle_timeout_ms"] = json!(random.random_range(1_000..15_000));
    for route in document["routes"].as_array_mut().expect("routes") {
        let weight = random.random_range(1..100);
        route["public"] = json!(true);
        route["timeout_ms"] = json!(random.random_range(MIN_ROUTE_TIMEOUT_MS..15_000));
        route["backends"] = json!([
            { "service": "chat", "weight": weight }, { "service": "pay", "weight": 100 - weight },
        ]);
    }
    document
}

/// Where a host is reached.
#[derive(Clone, Copy)]
struct Addresses {
    callers: SocketAddr,
    directory: SocketAddr,
    control: SocketAddr,
}

/// Sends one request after the other, and keeps addresses for as long as it may.
struct Caller<'a> {
    random: SmallRng,
    connection: KeptConnection,
    addresses: &'a [Addresses],
    record: &'a Record,
    id: String,
}

impl Caller<'_> {
    /// Asks a random host for addresses; none if it does not respond.
    fn resolve(&mut self) -> Vec<usize> {
        let asked = self.addresses[self.random.random_range(0..self.addresses.len())];
        let body = Hosts::resolve(asked.directory).body;
        let hosts = self.addresses.iter().enumerate();
        let named = hosts.filter(|(_, host)| body.contains(&format!("\"{}\"", host.callers)));
        named.map(|(host, _)| host).collect()
    }

    /// Sends requests; a caller that `stays` uses a host until the process is gone.
    fn run(&mut self, stays: bool, is_over: &AtomicBool) {
        let (mut hosts, mut kept_until, mut used) = (Vec::new(), 0.0, None);
        for number in 0.. {
            if is_over.load(Ordering::Relaxed) {
                return;
            }
            if hosts.is_empty() || kept_until < self.record.now() {
                hosts = self.resolve();
                kept_until = self.record.now() + MAX_KEPT_SECONDS * self.random.random::<f64>();
            }
            let next = hosts
                .get(self.random.random_range(0..=hosts.len()))
                .copied();
            if let Some(host) = used.or(next) {
                let is_answered = self.send(host, number);
                used = (stays && is_answered).then_some(host);
            }
            pause(&mut self.random, 0..60);
        }
    }

    /// Says what the server is to do.
    fn play(&mut self) -> String {
        let random = &mut self.random;
        if random.random_bool(0.2) {
            let (body, offset) = (random.random_range(0..4), random.random_range(0..170));
            return format!("silent {body} {offset} {}", random.random_range(500..3_000));
        }
        let count = 1.0 + 300.0 * random.random::<f64>().powi(3);
        format!("flow {} {count:.0}", random.random::<u64>())
    }

    /// Sends a request; returns whether it was answered.
    fn send(&mut self, host: usize, number: u32) -> bool {
        let id = format!("{}-{number}z", self.id);
        let path = PATHS[self.random.random_range(0..PATHS.len())];
        let deadline = DEADLINES_MS[self.random.random_range(0..DEADLINES_MS.len())];
        let play = self.play();
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\n\
             X-Play: {play}\r\nX-Deadline-Ms: {deadline}"
        );
        let sent = self.record.now();
        let address = self.addresses[host].callers;
        // Requests with the same body share their fate: one under which servers crash is refused.
        let answer = self.connection.send(address, &head, &id);
        let is_answered = answer.status != 0;
        let (deadline, ended) = (f64::from(deadline) / 1e3, self.record.now());
        let outcome = Outcome {
            id,
            host,
            path,
            play,
            deadline,
            sent,
            ended,
            answer,
        };
        lock(&self.record.outcomes).push(outcome);
        is_answered
    }
}

/// Judges what callers and servers have seen, by the sentences of the rules that messages name.
struct Judge<'a> {
    record: &'a Record,
    /// From when to when servers had each request, by id.
    runs: BTreeMap<String, Vec<(f64, f64)>>,
    logs: Vec<String>,
}

impl<'a> Judge<'a> {
    fn new(hosts: &Hosts, engines: &[Engine], record: &'a Record) -> Self {
        let mut runs: BTreeMap<_, Vec<_>> = BTreeMap::new();
        let seconds = |at: Instant| (at - record.started_at).as_secs_f64();
        for request in engines.iter().flat_map(Engine::received) {
            let id = request
                .header("x-attempt-id")
                .unwrap_or_default()
                .to_owned();
            let ended = request.ended_at.map_or(f64::INFINITY, seconds);
            runs.entry(id)
                .or_default()
                .push((seconds(request.at), ended));
        }
        let logs = hosts
            .indices()
            .map(|host| std::fs::read(hosts.log_path(host)));
        let logs = logs.map(|log| String::from_utf8_lossy(&log.expect("a log")).into_owned());
        let logs = logs.collect();
        Self { record, runs, logs }
    }

    fn runs(&self, outcome: &Outcome) -> &[(f64, f64)] {
        self.runs.get(&outcome.id).map_or(&[], Vec::as_slice)
    }

    /// How a request ended, or the rule that it broke.
    fn judge(&self, outcome: &Outcome) -> Result<&'static str, &'static str> {
        let runs = self.runs(outcome).len();
        let may_repeat = !["/stream/", "/once/"].contains(&outcome.path);
        if runs > 1 + usize::from(may_repeat) {
            return Err("unsafe: at most once per try; others: at most max_attempts");
        }
        let flow = outcome.flow();
        let events = flow.map_or(EVENTS.to_owned(), |flow| flow.events(0));
        let Answer {
            status,
            body,
            whole,
            ..
        } = &outcome.answer;
        match status {
            200 if !events.starts_with(body) => Err("ORDER: lacks a piece or carries it twice"),
            200 if *whole && *body == events => Ok("whole"),
            200 if *whole => Err("ORDER: it ends as complete before its last piece"),
            400..500 | 503 if *whole && runs == 0 => Ok("refused"),
            400..500 | 503 if *whole => Err("429 or 503: the request has not run"),
            0 if !self.was_read(outcome) => Ok("not read"),
            _ => self.excuse(outcome).ok_or(if *whole {
                "a failure of its own for a sound response: silence gives no reason to end an answer"
            } else {
                "LOST: read, and the connection ends with no complete answer"
            }),
        }
    }

    /// Whether a process is known to have read a request.
    fn was_read(&self, outcome: &Outcome) -> bool {
        let is_late = outcome.ended > outcome.sent + LOSS_SLACK_SECONDS;
        let is_logged = || self.logs[outcome.host].contains(&outcome.id);
        !self.runs(outcome).is_empty() || is_late && is_logged()
    }

    /// Why a request may have ended without a complete response.
    fn excuse(&self, outcome: &Outcome) -> Option<&'static str> {
        let (sent, ended) = (outcome.sent, outcome.ended);
        if ended - sent >= outcome.deadline.min(f64::from(MIN_ROUTE_TIMEOUT_MS) / 1e3) {
            return Some("time limit or route's timeout reached");
        }
        if outcome.flow().is_some_and(|flow| flow.breaks_off()) {
            return Some("the engine broke off");
        }
        let runs = self.runs(outcome).iter();
        let server_ended = runs.map(|(_, ended)| *ended).fold(0.0, f64::max);
        let spans = lock(&self.record.spans);
        let mut spans = spans
            .iter()
            .filter(|span| span.host == outcome.host && span.from <= ended);
        spans.find_map(|span| {
            if !span.is_planned {
                let is_near = span.until >= sent - CONTACT_SECONDS;
                return is_near.then_some("unplanned disruption");
            }
            let is_early = sent <= span.until.min(span.from + CUT_TOLERANCE_SECONDS);
            let is_at_work = server_ended.min(ended) >= span.from + LATE_GRACE_SECONDS;
            let is_excused = is_early && is_at_work;
            is_excused.then_some("engine at work in the last sixth of the grace")
        })
    }

    /// What is known of a request: its caller, servers and host, and all log lines that name it.
    fn trace(&self, outcome: &Outcome) -> String {
        let spans = lock(&self.record.spans);
        let spans = spans.iter().filter(|span| span.host == outcome.host);
        let mut lines = vec![format!("{outcome:?}")];
        lines.push(format!("at servers: {:?}", self.runs(outcome)));
        lines.extend(spans.map(|span| format!("{span:?}")));
        for (host, log) in self.logs.iter().enumerate() {
            let named = log.lines().filter(|line| line.contains(&outcome.id));
            lines.extend(named.map(|line| format!("host {host}: {line}")));
        }
        lines.join("\n  ")
    }
}

fn soak(seed: u64) -> BTreeMap<&'static str, u32> {
    let random = |number| SmallRng::seed_from_u64(seed * 10_000 + number);
    let without_disk = u8::try_from(setting("SOAK_HOSTS", 4)).expect("a small number");
    let engines = (0..2 * (3 + without_disk)).map(|index| Engine::start(&format!("i-{index}")));
    let engines: Vec<_> = engines.collect();
    let services = ["chat", "pay"].into_iter().cycle();
    let listed: Vec<_> = engines.iter().zip(services).collect();
    // In memory: no signal ends a process while a flush of its journal waits for the machine's disk.
    let parent = std::env::var("SOAK_FOLDER").unwrap_or_else(|_| "/dev/shm".to_owned());
    let folder = folder_in(Path::new(&parent), &format!("process_soak_{seed}"));
    let hosts = Hosts::start_programs(folder, &listed, without_disk);
    let first = random_document(7, &mut random(0));
    hosts.configure(&first.to_string());
    let addresses = hosts.indices().map(|host| Addresses {
        callers: hosts.callers(host),
        directory: hosts.directory(host),
        control: hosts.control(host),
    });
    let addresses = &addresses.collect::<Vec<_>>()[..];
    let record = &Record {
        started_at: Instant::now(),
        spans: Mutex::default(),
        outcomes: Mutex::default(),
        documents: Mutex::new(BTreeMap::from([(7, (first, true))])),
        violations: Mutex::default(),
    };
    let hosts = &Mutex::new(hosts);
    let (faults, is_over) = (&Faults { hosts, record }, &AtomicBool::new(false));
    thread::scope(|scope| {
        let numbers = 0..u64::from(3 + without_disk);
        for number in numbers.start..numbers.end * CALLERS_PER_HOST {
            let mut caller = Caller {
                random: random(1_000 + number),
                connection: KeptConnection::default(),
                addresses,
                record,
                id: format!("s{seed}-{number}"),
            };
            scope.spawn(move || caller.run(number % 3 == 0, is_over));
        }
        let _end = End(is_over);
        thread::scope(|scope| {
            scope.spawn(move || faults.change(random(1), addresses));
            scope.spawn(move || faults.disturb_servers(random(2)));
            for (host, number) in numbers.enumerate() {
                scope.spawn(move || faults.disturb_host(host, random(100 + number)));
            }
        });
    });
    faults.check_recovery(addresses);
    let judge = Judge::new(&lock(hosts), &engines, record);
    let mut totals = BTreeMap::new();
    for outcome in lock(&record.outcomes).iter() {
        let result = judge.judge(outcome);
        *totals.entry(result.unwrap_or("violation")).or_default() += 1;
        if let Err(rule) = result {
            record.violate(format!("{rule}\n  {}", judge.trace(outcome)));
        }
    }
    let violations = lock(&record.violations).join("\n\n");
    assert!(
        violations.is_empty(),
        "seed {seed}: {totals:?}\n{violations}"
    );
    totals
}

#[test]
fn faults_from_outside() {
    let first = setting("SOAK_FIRST_SEED", 1);
    for seed in first..first + setting("SOAK_SEEDS", 1) {
        let totals = soak(seed);
        println!("seed {seed}: {totals:?}");
        assert!(totals.contains_key("whole"), "seed {seed}");
    }
}

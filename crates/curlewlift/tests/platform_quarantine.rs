//! A request that crashes each backend server that begins to run it, sent through real gateways.
//!
//! The caller retries the request with the same path and body at another gateway, under another request id. If the
//! gateways and the hub treat each retry as a new request, it is given one server after another: twelve and thirteen
//! servers crashed under one request, and 154 other responses were lost with them. The request must be quarantined
//! after a few crashes.

mod platform;

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use platform::Answer;
use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::entry;
use platform::folder;
use platform::send_request;
use platform::wait;

/// Maximum number of servers that a request may crash: three until it is quarantined, and three attempts that
/// may be sent beyond that.
const MAX_CRASHES: u64 = 3 + 3;

/// Time until a crashed server runs again and the server list says so.
const RECOVERY_TIME: Duration = Duration::from_millis(1_500);

/// Hosts with an active configuration, and the engines of the service `chat`.
struct Deployment {
    hosts: Hosts,
    engines: Vec<Engine>,
    /// The number of attempts so far, which makes request ids unique.
    attempts: AtomicU32,
}

impl Deployment {
    fn start(name: &str) -> Self {
        let names = ["i-1", "i-2", "i-3", "i-4"];
        let engines = names.map(Engine::start).to_vec();
        let server_list: Vec<_> = engines.iter().map(|engine| (engine, "chat")).collect();
        let hosts = Hosts::start(folder(name), &server_list);
        hosts.configure(&document(7).to_string());
        Self {
            hosts,
            engines,
            attempts: AtomicU32::new(0),
        }
    }

    /// Sends one more attempt of a customer's request to one of the hosts.
    fn ask(&self, customer: &str, host: usize, path: &str, play: &str) -> Answer {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: try-{number}\r\n\
             X-Play: {play}\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer key-{customer}"
        );
        send_request(self.hosts.callers(host), &head, "question")
    }

    /// Puts all servers on the list again, and waits until crashed ones run again.
    fn restore_engines(&self) {
        let entries = self.engines.iter();
        let entries = entries.map(|engine| entry(engine, "chat", "ready"));
        self.hosts.list(entries.collect());
        std::thread::sleep(RECOVERY_TIME);
    }

    /// The number of servers that have crashed under a request.
    fn crashes(&self) -> u64 {
        self.engines.iter().map(Engine::crash_count).sum()
    }
}

/// The request is retried at all hosts in turn.
#[test]
fn retried_at_all_hosts() {
    let deployment = Deployment::start("retried_at_all_hosts");
    for round in 0..9 {
        deployment.ask("ann", round % 3, "/stream/again", "crash");
        deployment.restore_engines();
    }
    assert!(
        deployment.crashes() <= MAX_CRASHES,
        "{} servers crashed",
        deployment.crashes()
    );
    let answer = deployment.ask("ann", 0, "/stream/again", "crash");
    assert_eq!(
        answer.status, 502,
        "the request may have run: {}",
        answer.body
    );
    assert_eq!(answer.header("retry-after"), None);
}

/// The quarantine is still known after all hosts were killed and another hub leads.
#[test]
fn remembered_after_restart() {
    let mut deployment = Deployment::start("remembered_after_restart");
    for round in 0..3 {
        deployment.ask("ann", round % 3, "/stream/killed", "crash");
        deployment.restore_engines();
    }
    assert_eq!(deployment.crashes(), 3);
    for host in deployment.hosts.indices() {
        deployment.hosts.kill(host);
    }
    for host in deployment.hosts.indices() {
        deployment.hosts.boot(host, false);
    }
    wait("all hosts are ready", || {
        deployment
            .hosts
            .indices()
            .all(|host| deployment.hosts.is_ready(host))
    });
    for round in 0..3 {
        let answer = deployment.ask("ann", round, "/stream/killed", "crash");
        assert_eq!(answer.status, 502, "{round}: {}", answer.body);
    }
    assert!(
        deployment.crashes() <= MAX_CRASHES,
        "{} servers crashed",
        deployment.crashes()
    );
}

/// The request is quarantined at a host that cannot reach the hub.
#[test]
fn hub_unreachable() {
    let mut deployment = Deployment::start("hub_unreachable");
    for round in 0..3 {
        deployment.ask("ann", round % 3, "/stream/alone", "crash");
        deployment.restore_engines();
    }
    deployment.hosts.kill(0);
    deployment.hosts.kill(1);
    // This host has been informed of two of the crashes, or sees another one itself.
    let quarantined_code = "\"code\":4005,";
    wait("the request is quarantined", || {
        let answer = deployment.ask("ann", 2, "/stream/alone", "crash");
        answer.body.contains(quarantined_code)
    });
    for _ in 0..4 {
        let answer = deployment.ask("ann", 2, "/stream/alone", "crash");
        assert!(answer.body.contains(quarantined_code), "{}", answer.body);
    }
    assert!(
        deployment.crashes() <= MAX_CRASHES,
        "{} servers crashed",
        deployment.crashes()
    );
    assert_eq!(
        deployment.ask("ann", 2, "/stream/other", "answer").status,
        200
    );
}

/// The same request of another customer is a different request, and requests that ran on the crashed server are served
/// when they are retried.
#[test]
fn other_requests_served() {
    let deployment = Deployment::start("other_requests_served");
    for round in 0..3 {
        let path = format!("/stream/beside-{round}");
        std::thread::scope(|scope| {
            let concurrent: Vec<_> = (0..4)
                .map(|_| scope.spawn(|| deployment.ask("ann", round, &path, "hang")))
                .collect();
            std::thread::sleep(Duration::from_millis(100));
            deployment.ask("ann", round, "/open/bad", "crash");
            for concurrent in concurrent {
                let answer = concurrent.join().expect("the request thread returns");
                assert!(!answer.whole || answer.status != 200);
            }
        });
        deployment.restore_engines();
        assert_eq!(deployment.ask("ann", round, &path, "answer").status, 200);
    }
    // On a public rule, a caller without a key is a different customer.
    assert_eq!(deployment.ask("ann", 0, "/open/bad", "answer").status, 502);
    assert_eq!(
        deployment.ask("nobody", 0, "/open/bad", "answer").status,
        200
    );
}

/// Attempts that a gateway retries itself, within one request of the caller, count as well.
#[test]
fn retried_by_gateway() {
    let deployment = Deployment::start("retried_by_gateway");
    for path in ["/safe/again", "/resume/again"] {
        let crashes_before = deployment.crashes();
        for round in 0..4 {
            deployment.ask("ann", round % 3, path, "crash");
            deployment.restore_engines();
        }
        // More than three if a gateway cannot reach the hub for a moment and has not been informed of all crashes.
        let crashes = deployment.crashes() - crashes_before;
        assert!(
            (3..=MAX_CRASHES).contains(&crashes),
            "{path}: {crashes} servers crashed"
        );
    }
}

/// Two requests of different kinds crash servers in turn, and a third one is sent between them: each of the two is
/// quarantined for its own crashes, and the third is served throughout.
#[test]
fn two_crashing_requests() {
    let deployment = Deployment::start("two_crashing_requests");
    for round in 0..5 {
        for path in ["/stream/first", "/safe/second"] {
            deployment.ask("ann", round % 3, path, "crash");
            deployment.restore_engines();
            let other = deployment.ask("ann", round % 3, "/stream/beside", "answer");
            assert_eq!(other.status, 200, "{round} {path}: {}", other.body);
        }
    }
    assert!(
        (6..=2 * MAX_CRASHES).contains(&deployment.crashes()),
        "{}",
        deployment.crashes()
    );
    for path in ["/stream/first", "/safe/second"] {
        let answer = deployment.ask("ann", 1, path, "crash");
        assert_eq!(answer.status, 502, "{path}: {}", answer.body);
    }
}

//! Requests with a part in their prompts that crashes each backend server that begins to answer them, sent through real
//! gateways.
//!
//! No two of the requests are alike, so that none of them can be recognised when it comes again: 36 servers crashed under
//! requests that had a part in common. Requests that share everything else with them must be served meanwhile.

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

/// How many servers may crash under requests with one part: five, and three trials.
const MAX_CRASHES: u64 = 5 + 3;

/// Time until a crashed server runs again and the server list says so.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// The part that crashes servers.
const BAD: &str = "bad0:100";

/// A part that sound requests share with those that crash servers.
const SHARED: &str = "5a:60";

/// Hosts with an active configuration, and the engines of the service `chat`.
struct Deployment {
    hosts: Hosts,
    engines: Vec<Engine>,
    /// The number of requests so far, which makes them distinct.
    requests: AtomicU32,
}

impl Deployment {
    fn start(name: &str) -> Self {
        let engines = ["i-1", "i-2", "i-3", "i-4"].map(Engine::start).to_vec();
        let server_list: Vec<_> = engines.iter().map(|engine| (engine, "chat")).collect();
        let hosts = Hosts::start(folder(name), &server_list);
        hosts.configure(&document(7).to_string());
        Self {
            hosts,
            engines,
            requests: AtomicU32::new(0),
        }
    }

    /// Sends a request unlike all others, whose prompt has these parts before its last one.
    fn ask(&self, host: usize, parts: &[&str], play: &str) -> Answer {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let mut parts = parts.join(",");
        if !parts.is_empty() {
            parts.push(',');
        }
        let head = format!(
            "POST /stream/{number} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: try-{number}\r\n\
             X-Play: {play}\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key-ann\r\n\
             X-Prompt-Prefix: {parts}1a57{number:x}:500"
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

/// The requests come one after the other, at all hosts in turn.
#[test]
fn unlike_requests() {
    let deployment = Deployment::start("unlike_requests");
    for round in 0..12 {
        deployment.ask(round % 3, &[SHARED, BAD], "crash");
        deployment.restore_engines();
        let sound = deployment.ask(round % 3, &[SHARED], "answer");
        assert_eq!(sound.status, 200, "round {round}: {}", sound.body);
    }
    assert!(
        deployment.crashes() <= MAX_CRASHES,
        "{} servers crashed",
        deployment.crashes()
    );
}

//! Three hosts in front of three engines of one service.

use std::time::Duration;
use std::time::Instant;

use curlewlift::LinkFault;

use super::Answer;
use super::Engine;
use super::Hosts;
use super::document;
use super::entry;
use super::folder;
use super::send_request;
use super::wait;

/// The versions of the engines where a test names none.
const THREE_ENGINES: [&str; 3] = ["v1"; 3];

/// Starts engines of these versions.
fn engines(versions: &[&'static str]) -> Vec<Engine> {
    let engines = versions.iter().enumerate();
    let engines =
        engines.map(|(index, version)| Engine::start_version(&format!("i-{}", index + 1), version));
    engines.collect()
}

/// Three hosts in front of three engines of one service.
pub(crate) struct ThreeHosts {
    pub hosts: Hosts,
    pub engines: Vec<Engine>,
}

impl ThreeHosts {
    pub(crate) fn start(name: &str) -> Self {
        Self::start_late(name, Duration::ZERO)
    }

    /// Starts the third host `delay` after the others.
    pub(crate) fn start_late(name: &str, delay: Duration) -> Self {
        Self::start_before(name, engines(&THREE_ENGINES), delay)
    }

    /// Starts the hosts in front of engines of these versions.
    pub(crate) fn start_versions(name: &str, versions: &[&'static str]) -> Self {
        Self::start_before(name, engines(versions), Duration::ZERO)
    }

    /// Starts `without_disk` more hosts that have no disk, in front of engines of these versions.
    pub(crate) fn start_more_versions(
        name: &str,
        versions: &[&'static str],
        without_disk: u8,
    ) -> Self {
        Self::start_linked(name, versions, without_disk, None)
    }

    /// Starts the same with a link of `link` bytes per second between the hosts without a disk and the others' replicas.
    pub(crate) fn start_linked(
        name: &str,
        versions: &[&'static str],
        without_disk: u8,
        link: Option<u64>,
    ) -> Self {
        let engines = engines(versions);
        let listed: Vec<_> = engines.iter().map(|engine| (engine, "chat")).collect();
        let hosts = Hosts::start_more(folder(name), &listed, without_disk, link);
        hosts.configure(&document(7).to_string());
        Self { hosts, engines }
    }

    fn start_before(name: &str, engines: Vec<Engine>, delay: Duration) -> Self {
        let listed: Vec<_> = engines.iter().map(|engine| (engine, "chat")).collect();
        let hosts = Hosts::start_late(folder(name), &listed, delay);
        hosts.configure(&document(7).to_string());
        Self { hosts, engines }
    }

    /// Starts `without_disk` more hosts that have no disk.
    pub(crate) fn start_more(name: &str, without_disk: u8) -> Self {
        Self::start_more_versions(name, &THREE_ENGINES, without_disk)
    }

    /// Makes the server list name the engines that `is_listed` says, and no others.
    pub(crate) fn list_engines(&self, is_listed: impl Fn(&Engine) -> bool) {
        let listed = self.engines.iter().filter(|engine| is_listed(engine));
        let entries = listed.map(|engine| entry(engine, "chat", "ready"));
        self.hosts.list(entries.collect());
    }

    /// Makes new connections of these hosts to all engines fail; `None` ends the fault.
    pub(crate) fn set_link_faults(&self, hosts: &[usize], fault: Option<LinkFault>) {
        for host in hosts {
            self.hosts.set_link_fault(*host, &self.engines, fault);
        }
    }

    /// Returns how many requests all engines have received.
    pub(crate) fn count_received(&self) -> usize {
        self.engines
            .iter()
            .map(|engine| engine.received().len())
            .sum()
    }

    /// Sends a request to a host under a public rule, so that no quota applies.
    pub(crate) fn send_open(&self, host: usize, number: usize) -> Answer {
        self.send(host, number, "/open/", "answer")
    }

    /// Sends a request under `path`; `behavior` says what the engine does.
    pub(crate) fn send(&self, host: usize, number: usize, path: &str, behavior: &str) -> Answer {
        let key = match path {
            "/open/" => "",
            _ => "\r\nAuthorization: Bearer key-ann",
        };
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: h{host}-{number}\r\n\
             X-Play: {behavior}\r\nX-Deadline-Ms: 5000{key}"
        );
        send_request(self.hosts.callers(host), &head, "question")
    }

    /// Sends requests to a host until `engine` has received one and the response `is_wanted`; the other engines ask for
    /// a short backoff meanwhile.
    pub(crate) fn send_until(
        &self,
        host: usize,
        engine: &Engine,
        is_wanted: impl Fn(&Answer) -> bool,
    ) {
        let others = self.engines.iter().filter(|other| other.id != engine.id);
        let others: Vec<_> = others.collect();
        for other in &others {
            other.set_backoff(Some("0.3"));
        }
        let before = engine.received().len();
        wait("the engine is used", || {
            let answer = self.send_open(host, 0);
            engine.received().len() > before && is_wanted(&answer)
        });
        for other in &others {
            other.set_backoff(None);
        }
    }

    /// Sends requests to these hosts for `time`, with four callers per host that each send one request after the other;
    /// returns the responses.
    pub(crate) fn send_for(&self, host_indices: &[usize], time: Duration) -> Vec<Answer> {
        self.send_behavior_for(host_indices, time, "answer")
    }

    /// Does the same; `behavior` says what the engine does.
    pub(crate) fn send_behavior_for(
        &self,
        host_indices: &[usize],
        time: Duration,
        behavior: &str,
    ) -> Vec<Answer> {
        let until = Instant::now() + time;
        std::thread::scope(|scope| {
            let callers = host_indices
                .iter()
                .flat_map(|host| (0..4).map(|sender| (*host, sender)));
            let callers = callers.map(|(host, sender)| {
                scope.spawn(move || {
                    let mut answers = Vec::new();
                    while Instant::now() < until {
                        let number = answers.len() * 4 + sender;
                        answers.push(self.send(host, number, "/open/", behavior));
                        std::thread::sleep(Duration::from_millis(20));
                    }
                    answers
                })
            });
            let callers: Vec<_> = callers.collect();
            let answers = callers.into_iter();
            let answers =
                answers.flat_map(|caller| caller.join().expect("the caller does not panic"));
            answers.collect()
        })
    }
}

//! Backend servers that say in an answer that they leave, before the platform's list does.
//!
//! A gateway took that a server leaves from the list alone. What a server itself said was not read; and where a
//! gateway had found out by an answer that another server had the address, the next copy of the list undid it, as
//! that was kept in the entry of the list.

mod platform;

use std::time::Duration;

use platform::Answer;
use platform::Engine;
use platform::Hosts;
use platform::ask;
use platform::document;
use platform::entry;
use platform::folder;
use platform::wait;

/// How long after a host has passed such an answer on requests may still go to that server.
const DRAINED: Duration = Duration::from_secs(3);

struct World {
    hosts: Hosts,
    engines: Vec<Engine>,
}

impl World {
    fn start(name: &str) -> Self {
        let engines = ["i-1", "i-2", "i-3"].map(Engine::start).to_vec();
        let listed: Vec<_> = engines.iter().map(|engine| (engine, "chat")).collect();
        let hosts = Hosts::start(folder(name), &listed);
        hosts.configure(&document(7).to_string());
        Self { hosts, engines }
    }

    fn ask(&self, place: usize, path: &str, play: &str) -> Answer {
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: h{place}-1\r\n\
             X-Play: {play}\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer key-ann"
        );
        ask(self.hosts.callers(place), &head, "question")
    }

    /// Asks until a host has passed on an answer of the first server with its word that it leaves.
    fn learn(&self, place: usize, path: &str, play: &str) {
        self.engines[0].leave();
        wait("a host has passed on that it leaves", || {
            let answer = self.ask(place, path, play);
            assert_eq!(answer.status, 200, "{}", answer.body);
            answer.header("server-leaving") == Some("1")
        });
    }

    /// Nothing that is sent to these hosts from now on reaches the first server.
    fn is_left_alone(&self, places: &[usize]) {
        let before = self.engines[0].came().len();
        for round in 0..40 {
            for place in places {
                let play = if round % 2 == 0 { "answer" } else { "break" };
                let path = if round % 2 == 0 { "/safe/" } else { "/resume/" };
                assert_eq!(self.ask(*place, path, play).status, 200);
            }
        }
        assert_eq!(self.engines[0].came().len(), before);
    }
}

/// Every host is told by an answer of its own, or by the hub.
#[test]
fn said_in_answer() {
    let world = World::start("said_in_answer");
    world.learn(0, "/safe/", "answer");
    std::thread::sleep(DRAINED);
    world.is_left_alone(&[0, 1, 2]);
}

/// A host that hears no hub goes by the word of an answer too; a copy of the list that changes in between does not
/// undo it.
#[test]
fn no_hub() {
    let mut world = World::start("no_hub_leaving");
    world.hosts.kill(0);
    world.hosts.kill(1);
    world.learn(2, "/resume/", "events");
    world.hosts.drain(&world.engines[2]);
    std::thread::sleep(DRAINED);
    world.is_left_alone(&[2]);
}

/// The server starts again under another name: that one is used.
#[test]
fn another_life() {
    let world = World::start("another_life");
    world.learn(0, "/safe/", "answer");
    let fresh = Engine::start("i-4");
    let listed = [&world.engines[1], &fresh];
    let entries = listed.map(|engine| entry(engine, "chat", "ready"));
    world.hosts.list(entries.to_vec());
    wait("the new server is used", || {
        world.ask(0, "/safe/", "answer");
        !fresh.came().is_empty()
    });
}

//! Backend servers that announce in a response that they are draining, before the platform's list says so.
//!
//! Guards against a gateway that learns only from the list that a server is draining and ignores the server's own
//! notice. Such a notice, or the finding that another server has the address, must also survive the next copy of the
//! list; stored in the entry of the list, it was overwritten.

mod platform;

use std::time::Duration;

use platform::Engine;
use platform::ThreeHosts;
use platform::entry;
use platform::wait;

/// How long requests may still go to a server after a host has forwarded its notice.
const DRAIN_GRACE: Duration = Duration::from_secs(3);

/// Sends requests until a host has forwarded a response with the first server's draining notice.
fn forward_notice(world: &ThreeHosts, host: usize) {
    world.engines[0].start_draining();
    world.send_until(host, &world.engines[0], |answer| {
        answer.status == 200 && answer.header("server-leaving") == Some("1")
    });
}

/// Asserts that none of `count` requests to each of these hosts reaches the first server.
fn assert_avoided(world: &ThreeHosts, hosts: &[usize], count: usize, path: &str, play: &str) {
    let before = world.engines[0].received().len();
    for number in 0..count {
        for host in hosts {
            let answer = world.send(*host, number, path, play);
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
    }
    assert_eq!(world.engines[0].received().len(), before);
}

/// Every host learns of it from a response or from the hub; broken streams are not resumed at that server either.
#[test]
fn notice_in_response() {
    let world = ThreeHosts::start("said_in_answer");
    forward_notice(&world, 0);
    std::thread::sleep(DRAIN_GRACE);
    assert_avoided(&world, &[0, 1, 2], 40, "/open/", "answer");
    assert_avoided(&world, &[0], 2, "/resume/", "break");
}

/// A host without a hub also obeys the notice in a response; a changed copy of the list in between does not undo it.
#[test]
fn notice_without_hub() {
    let mut world = ThreeHosts::start("no_hub_leaving");
    world.hosts.kill(0);
    world.hosts.kill(1);
    forward_notice(&world, 2);
    world.hosts.drain(&world.engines[2]);
    std::thread::sleep(DRAIN_GRACE);
    assert_avoided(&world, &[2], 40, "/open/", "answer");
}

/// After the server is replaced by one with another name, the new one is used.
#[test]
fn replaced_server() {
    let world = ThreeHosts::start("another_life");
    forward_notice(&world, 0);
    let replacement = Engine::start("i-4");
    let listed = [&world.engines[1], &replacement];
    let entries = listed.map(|engine| entry(engine, "chat", "ready"));
    world.hosts.list(entries.to_vec());
    wait("the new server receives a request", || {
        world.engines[1].set_backoff(Some("0.3"));
        world.send_open(0, 0);
        !replacement.received().is_empty()
    });
}

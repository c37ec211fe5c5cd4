//! Backend servers that say in an answer that they leave, before the platform's list does.
//!
//! A gateway took that a server leaves from the list alone. What a server itself said was not read; and where a
//! gateway had found out by an answer that another server had the address, the next copy of the list undid it, as
//! that was kept in the entry of the list.

mod platform;

use std::time::Duration;

use platform::Engine;
use platform::ThreeHosts;
use platform::entry;
use platform::wait;

/// How long after a host has passed such an answer on requests may still go to that server.
const DRAINED: Duration = Duration::from_secs(3);

/// Asks until a host has passed on an answer of the first server with its word that it leaves.
fn learn(world: &ThreeHosts, place: usize) {
    world.engines[0].start_draining();
    world.send_until(place, &world.engines[0], |answer| {
        answer.status == 200 && answer.header("server-leaving") == Some("1")
    });
}

/// Nothing that is sent to these hosts from now on reaches the first server.
fn is_left_alone(world: &ThreeHosts, places: &[usize], count: usize, path: &str, play: &str) {
    let before = world.engines[0].received().len();
    for number in 0..count {
        for place in places {
            let answer = world.send(*place, number, path, play);
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
    }
    assert_eq!(world.engines[0].received().len(), before);
}

/// Every host is told by an answer of its own, or by the hub; streams that break are not taken up there either.
#[test]
fn said_in_answer() {
    let world = ThreeHosts::start("said_in_answer");
    learn(&world, 0);
    std::thread::sleep(DRAINED);
    is_left_alone(&world, &[0, 1, 2], 40, "/open/", "answer");
    is_left_alone(&world, &[0], 2, "/resume/", "break");
}

/// A host that hears no hub goes by the word of an answer too; a copy of the list that changes in between does not
/// undo it.
#[test]
fn no_hub() {
    let mut world = ThreeHosts::start("no_hub_leaving");
    world.hosts.kill(0);
    world.hosts.kill(1);
    learn(&world, 2);
    world.hosts.drain(&world.engines[2]);
    std::thread::sleep(DRAINED);
    is_left_alone(&world, &[2], 40, "/open/", "answer");
}

/// The server starts again under another name: that one is used.
#[test]
fn another_life() {
    let world = ThreeHosts::start("another_life");
    learn(&world, 0);
    let fresh = Engine::start("i-4");
    let listed = [&world.engines[1], &fresh];
    let entries = listed.map(|engine| entry(engine, "chat", "ready"));
    world.hosts.list(entries.to_vec());
    wait("the new server is on the list", || {
        world.engines[1].set_backoff(Some("0.3"));
        world.send_open(0, 0);
        !fresh.received().is_empty()
    });
}

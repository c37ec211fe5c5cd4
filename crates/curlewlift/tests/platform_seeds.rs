//! Finding the control replicas after a restart, when the settings name other hosts as seeds.
//!
//! All processes of a deployment were killed and restarted within a second, and for the next 12 s none of 121 requests
//! was served. The settings had come to name three hosts without a disk. A gateway looked for control replicas only at
//! the hosts that its settings name, and a host without a replica does not respond there. The replicas elected a leader
//! at once, but no gateway ever polled it, not even the one in its own process.

mod platform;

use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::folder;
use platform::send_request;
use platform::wait;

/// Number of hosts without a disk.
const DISKLESS_HOSTS: u8 = 3;

/// Whether a host is ready and serves a request.
fn is_served(hosts: &Hosts, host: usize) -> bool {
    let head = "GET /safe/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a\r\n\
                X-Deadline-Ms: 5000\r\nAuthorization: Bearer key-ann";
    hosts.is_ready(host) && send_request(hosts.callers(host), head, "").status == 200
}

/// Starts hosts with a configuration and one engine.
fn start(name: &str) -> Hosts {
    let engine = Engine::start("i-1");
    let hosts = Hosts::start_more(folder(name), &[(&engine, "chat")], DISKLESS_HOSTS, None);
    hosts.configure(&document(7).to_string());
    hosts
}

/// One host is restarted while the others keep running.
#[test]
fn one_restarted() {
    let mut hosts = start("one_restarted");
    hosts.set_seeds(&[4, 5]);
    hosts.kill(3);
    hosts.boot(3, false);
    wait("the restarted host serves again", || is_served(&hosts, 3));
}

/// All hosts are restarted, and only what the disks hold is left.
#[test]
fn all_restarted() {
    let mut hosts = start("all_restarted");
    hosts.set_seeds(&[3, 4, 5]);
    hosts.indices().for_each(|host| hosts.kill(host));
    hosts.indices().for_each(|host| hosts.boot(host, false));
    wait("all hosts serve again", || {
        hosts.indices().all(|host| is_served(&hosts, host))
    });
}

/// A host that lost its disk becomes a voter again: only then is a newer table accepted.
#[test]
fn lost_disk() {
    let mut hosts = start("seeds_lost_disk");
    hosts.set_seeds(&[3, 4, 5]);
    hosts.kill(0);
    hosts.wipe(0);
    hosts.boot(0, false);
    wait("the restarted host serves again", || is_served(&hosts, 0));
    wait("the host with the blank disk counts again", || {
        hosts.was_readmitted(0)
    });
    hosts.kill(1);
    wait("a newer table is accepted with its vote", || {
        hosts.put(2, &document(9).to_string()) == 200
    });
}

//! Finding control again after a restart whose settings name other hosts to begin with.
//!
//! Seen: all processes of a deployment were killed and were back within a second; for the 12 s that were
//! looked at none of 121 requests was served.
//!
//! Sequence: every host answers operators, so the settings came to name three hosts without a disk
//! (second 1 to 3). Five hosts that were restarted at 11 s and 14 s never got a table again; the others,
//! which knew the leader, served on. At 35 s all were killed. The replicas elected a leader 0.01 s after
//! the last of them had started (`400 leads term=2`), and no gateway ever asked it, not even the one in
//! its own process.
//!
//! Cause: a gateway looked for control at the hosts that its settings name and nowhere else, and a host
//! without a replica answers nothing there. What settled it: `7003 unreachable: 10.1.0.29:7080:
//! Connection refused`, 10.1.0.29 being a host that started with `"replica":false`, in the answers to
//! operators of every host that was restarted; and no `hub-found` after the exchange. Ruled out: that
//! the leader was not settled (a leader that is not steps down within 0.6 s, and it wrote no `follows`),
//! and that a disk was lost (its term went on from the former one).

mod platform;

use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::folder;
use platform::send_request;
use platform::wait;

/// Hosts without a disk.
const MORE: u8 = 3;

fn served(hosts: &Hosts, place: usize) -> bool {
    let head = "GET /safe/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a\r\n\
                X-Deadline-Ms: 5000\r\nAuthorization: Bearer key-ann";
    hosts.is_ready(place) && send_request(hosts.callers(place), head, "").status == 200
}

fn start(name: &str) -> Hosts {
    let engine = Engine::start("i-1");
    let hosts = Hosts::start_more(folder(name), &[(&engine, "chat")], MORE, None);
    hosts.configure(&document(7).to_string());
    hosts
}

/// One host is restarted while the others run.
#[test]
fn one_restarted() {
    let mut hosts = start("one_restarted");
    hosts.set_seeds(&[4, 5]);
    hosts.kill(3);
    hosts.boot(3, false);
    wait("it is served again", || served(&hosts, 3));
}

/// All are restarted, and nobody remembers anything but what the disks hold.
#[test]
fn all_restarted() {
    let mut hosts = start("all_restarted");
    hosts.set_seeds(&[3, 4, 5]);
    hosts.indices().for_each(|place| hosts.kill(place));
    hosts.indices().for_each(|place| hosts.boot(place, false));
    wait("all are served again", || {
        hosts.indices().all(|place| served(&hosts, place))
    });
}

/// A host that lost its disk counts again: a newer table is taken only then.
#[test]
fn lost_disk() {
    let mut hosts = start("seeds_lost_disk");
    hosts.set_seeds(&[3, 4, 5]);
    hosts.kill(0);
    hosts.wipe(0);
    hosts.boot(0, false);
    wait("it is served again", || served(&hosts, 0));
    wait("the blank one counts", || hosts.was_readmitted(0));
    hosts.kill(1);
    wait("a newer one is taken with it", || {
        hosts.put(2, &document(9).to_string()) == 200
    });
}

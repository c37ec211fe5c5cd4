//! The first start of a deployment, in which a host is lost before the replicated log has more than one copy.
//!
//! One host alone founded the log. If it lost its disk within half a second the system never formed, and if another host failed
//! then no configuration was accepted until it returned.

mod platform;

use curlewlift_core::event::Kind;

use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::folder;
use platform::wait;

/// Starts three hosts with a disk for the first time.
fn start(name: &str, engine: &Engine) -> Hosts {
    Hosts::start(folder(name), &[(engine, "chat")])
}

/// Whether the host accepts the first configuration.
fn accepts(hosts: &Hosts, host: usize) -> bool {
    hosts.put(host, &document(7).to_string()) == 200
}

#[test]
fn lost_disk() {
    let engine = Engine::start("i-1");
    let mut hosts = start("founders_lost_disk", &engine);
    wait("the first host writes", || hosts.has_written(0));
    hosts.kill(0);
    hosts.wipe(0);
    hosts.boot(0, false);
    wait("the first configuration is accepted", || accepts(&hosts, 1));
    wait("the host without its disk votes again", || {
        hosts.was_readmitted(0)
    });
}

#[test]
fn one_killed() {
    let engine = Engine::start("i-1");
    let mut hosts = start("founders_one_killed", &engine);
    hosts.kill(2);
    wait("the first configuration is accepted", || accepts(&hosts, 0));
    hosts.boot(2, false);
    wait("the host is ready", || hosts.is_ready(2));
}

/// One host alone is no majority: its log and its readiness say what it waits for.
#[test]
fn one_left() {
    let engine = Engine::start("i-1");
    let mut hosts = start("founders_one_left", &engine);
    hosts.kill(1);
    hosts.kill(2);
    wait("the missing leader is reported", || {
        let lines = hosts.timeline(Kind::LeaderMissing);
        lines.iter().any(|line| line.detail.ends_with("needed=2"))
    });
    let readiness = hosts.readiness(0);
    assert_eq!(readiness.status, 503);
    assert_eq!(readiness.body, "waits for the leading control replica");
}

//! Copies of the platform's list may be late, repeated or incomplete. Neither may drain a live server or undrain one
//! that is leaving, and servers must not flap.

use curlewlift_core::config::Snapshot;
use curlewlift_core::lang;
use curlewlift_core::lang::Statement;
use curlewlift_core::platform::Host;
use curlewlift_core::platform::List;
use curlewlift_core::platform::ListWatcher;
use curlewlift_core::platform::Order;

fn apply(snapshot: &Snapshot, line: &str) -> Snapshot {
    let Ok(Statement::Change(change)) = lang::parse(line) else {
        panic!("{line}")
    };
    snapshot.apply(&change).expect(line)
}

fn configured() -> Snapshot {
    let lines = [
        "create service s model=m",
        "create server x service=s address=127.0.0.1:1 hall=h",
        "create server y service=s address=127.0.0.1:2 hall=h",
    ];
    lines
        .iter()
        .fold(Snapshot::default(), |snapshot, line| apply(&snapshot, line))
}

fn list(version: u64, hosts: &[(&str, bool)]) -> List {
    let host = |(name, leaving): &(&str, bool)| Host {
        name: name.parse().expect("a name"),
        leaving: *leaving,
    };
    List {
        version,
        hosts: hosts.iter().map(host).collect(),
    }
}

#[test]
fn older_copies() {
    let mut snapshot = configured();
    let mut watcher = ListWatcher::default();
    let x = "x".parse().expect("a name");
    assert!(
        watcher
            .update(&list(5, &[("x", false), ("y", false)]), &snapshot)
            .is_empty()
    );
    assert_eq!(
        watcher.update(&list(7, &[("x", true)]), &snapshot),
        [Order::Drain(x)]
    );
    snapshot = apply(&snapshot, "drain server x");
    for version in [5, 6, 7] {
        let old = list(version, &[("x", false), ("y", true)]);
        assert!(
            watcher.update(&old, &snapshot).is_empty(),
            "an older copy must not replace a newer one"
        );
    }
}

#[test]
fn missing_host() {
    let snapshot = configured();
    let mut watcher = ListWatcher::default();
    watcher.update(&list(1, &[("x", false), ("y", false)]), &snapshot);
    assert!(
        watcher
            .update(&list(2, &[("x", false)]), &snapshot)
            .is_empty(),
        "a host that is missing from a copy must not be drained"
    );
}

#[test]
fn no_flapping() {
    let mut snapshot = configured();
    let mut watcher = ListWatcher::default();
    let x: curlewlift_core::id::Server = "x".parse().expect("a name");
    let mut orders = Vec::new();
    for version in 1..=12 {
        // The host alternates between leaving and live, and is live from version 8 on.
        let leaving = version < 8 && version % 2 == 1;
        for order in watcher.update(&list(version, &[("x", leaving)]), &snapshot) {
            let line = match &order {
                Order::Drain(name) => format!("drain server {name}"),
                Order::Undrain(name) => format!("undrain server {name}"),
            };
            snapshot = apply(&snapshot, &line);
            orders.push(order);
        }
    }
    assert_eq!(orders, [Order::Drain(x.clone()), Order::Undrain(x)]);
}

#[test]
fn drained_by_operators() {
    let snapshot = apply(&configured(), "drain server x");
    let mut watcher = ListWatcher::default();
    for version in 1..10 {
        let orders = watcher.update(&list(version, &[("x", false)]), &snapshot);
        assert!(
            orders.is_empty(),
            "a server that the operators drained must not be undrained"
        );
    }
}

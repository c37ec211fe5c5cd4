//! Lives of servers.

use curlewlift_core::gateway::Server;

/// The life of the server `name` that began at `born`.
pub(crate) fn life(name: &str, born: u64) -> Server {
    Server {
        incarnation: format!("{name}/{born}").into(),
        name: name.into(),
        born,
        version: "v1".parse().expect("a version"),
        service: "chat".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "a".into(),
        slots: 2,
        leaving: false,
        cold: false,
    }
}

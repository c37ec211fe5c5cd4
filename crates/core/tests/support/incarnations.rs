//! Incarnations of servers.

use curlewlift_core::gateway::Server;

/// Returns the incarnation of the server `name` that started at `started_ms`.
pub(crate) fn incarnation(name: &str, started_ms: u64) -> Server {
    Server {
        incarnation: format!("{name}/{started_ms}").into(),
        name: name.into(),
        started_ms,
        version: "v1".parse().expect("a version"),
        service: "chat".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "a".into(),
        slots: 2,
        leaving: false,
        cold: false,
    }
}

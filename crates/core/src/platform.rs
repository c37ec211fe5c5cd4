//! The platform's list of live and leaving hosts. Copies of it may be late, repeated or incomplete.
//!
//! [`ListWatcher`] turns copies of the list into commands to drain and undrain backend servers. An
//! older copy never replaces a newer one, and a host that is missing from a copy is not drained. A
//! host that was leaving is undrained only after several newer copies in a row list it as live, so
//! that it doesn't flap.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::config::Snapshot;
use crate::config::State;
use crate::id;

/// How many newer copies in a row must list a drained server as live before it is undrained.
const LIVE_COPIES_TO_UNDRAIN: u32 = 3;

/// A copy of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The list's version, which grows with each change; copies may arrive in any order.
    pub version: u64,
    /// The hosts on the list.
    pub hosts: Vec<Host>,
}

/// One host on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The backend server's name.
    pub name: id::Server,
    /// Whether the host is leaving.
    pub leaving: bool,
}

/// A command to carry out because of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// The server must get no new work.
    Drain(id::Server),
    /// The server may get new work again.
    Undrain(id::Server),
}

/// Follows the list; memory is linear in the number of servers that it drained.
///
/// # Examples
///
/// ```
/// use curlewlift_core::config::Snapshot;
/// use curlewlift_core::platform::List;
/// use curlewlift_core::platform::ListWatcher;
/// let list = List {
///     version: 1,
///     hosts: Vec::new(),
/// };
/// assert!(ListWatcher::default().update(&list, &Snapshot::default()).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct ListWatcher {
    version: u64,
    /// Servers that the list had as leaving, and how many newer copies in a row had them as live.
    drained: BTreeMap<id::Server, u32>,
}

impl ListWatcher {
    /// Applies a copy of the list, and returns the commands that follow from it under the current
    /// configuration.
    pub fn update(&mut self, list: &List, snapshot: &Snapshot) -> Vec<Order> {
        if list.version <= self.version {
            return Vec::new();
        }
        self.version = list.version;
        let hosts = list.hosts.iter();
        let orders = hosts.filter_map(|host| self.check_host(host, snapshot));
        orders.collect()
    }

    fn check_host(&mut self, host: &Host, snapshot: &Snapshot) -> Option<Order> {
        let server = snapshot.servers.get(&host.name)?;
        if host.leaving {
            self.drained.insert(host.name.clone(), 0);
            return (server.state == State::Live).then(|| Order::Drain(host.name.clone()));
        }
        // A server that the operators drained is left for them to undrain.
        let live_copies = self.drained.get_mut(&host.name)?;
        *live_copies += 1;
        if *live_copies < LIVE_COPIES_TO_UNDRAIN {
            return None;
        }
        self.drained.remove(&host.name);
        (server.state == State::Leaving).then(|| Order::Undrain(host.name.clone()))
    }
}

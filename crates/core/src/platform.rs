//! The platform's list of live and leaving hosts, which lags, repeats itself and loses hosts.
//!
//! [`ListWatcher`] turns copies of the list into commands to drain and undrain backend servers. An older
//! copy never replaces a newer one; a host that a copy has lost is not taken for gone; and a host
//! that comes back is taken back only after some newer copies have said so, so that nothing flaps.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::config::Snapshot;
use crate::config::State;
use crate::id;

/// Newer copies that must all say "live" before a server that left is taken back.
const STEADY: u32 = 3;

/// A copy of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Grows with each change; copies may come in any order.
    pub version: u64,
    /// The hosts that it names.
    pub hosts: Vec<Host>,
}

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The backend server's name.
    pub name: id::Server,
    /// Whether it leaves.
    pub leaving: bool,
}

/// A command that follows from the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// The server takes no new work.
    Drain(id::Server),
    /// The server takes new work again.
    Undrain(id::Server),
}

/// What the list has said so far; memory is linear in the servers that it drained.
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
    /// Servers that the list said are leaving, and how many newer copies in a row said "live".
    drained: BTreeMap<id::Server, u32>,
}

impl ListWatcher {
    /// Takes a copy of the list; tells what to command, given the configuration in force.
    pub fn update(&mut self, list: &List, snapshot: &Snapshot) -> Vec<Order> {
        if list.version <= self.version {
            return Vec::new();
        }
        self.version = list.version;
        let hosts = list.hosts.iter();
        let orders = hosts.filter_map(|host| self.look(host, snapshot));
        orders.collect()
    }

    fn look(&mut self, host: &Host, snapshot: &Snapshot) -> Option<Order> {
        let server = snapshot.servers.get(&host.name)?;
        if host.leaving {
            self.drained.insert(host.name.clone(), 0);
            return (server.state == State::Live).then(|| Order::Drain(host.name.clone()));
        }
        // What the operators drained is theirs to take back.
        let steady = self.drained.get_mut(&host.name)?;
        *steady += 1;
        if *steady < STEADY {
            return None;
        }
        self.drained.remove(&host.name);
        (server.state == State::Leaving).then(|| Order::Undrain(host.name.clone()))
    }
}

//! Tracks which incarnation of each backend server is current.
//!
//! Load pattern: several servers crash at once and restart under the same names, while the
//! platform's list lags, repeats an older copy, or is read by another host. A copy that names a
//! former incarnation must not bring back what was known of it.

use std::collections::HashMap;
use std::sync::Arc;

use super::Server;
use super::ServerList;

/// Number of former incarnations of a server that are remembered. A server that crashes every few
/// seconds has about as many within the time by which the platform's list lags.
const MAX_FORMER_INCARNATIONS: usize = 8;

/// Number of consecutive copies of the list that must name a former incarnation, or a leaving one
/// as staying, before this is believed. What one stale copy repeats, a second one may repeat, but
/// every copy names a server that is really there.
const MIN_CONTRADICTING_COPIES: u32 = 3;

/// The known incarnations of one server.
#[derive(Clone, Debug)]
struct ServerHistory {
    /// The current incarnation, as last listed.
    current: Server,
    /// The former incarnations, oldest first.
    former: Vec<Arc<str>>,
    /// The number of consecutive copies that named a former incarnation, or the current one as it
    /// was before it was leaving.
    contradicting_copies: u32,
}

impl ServerHistory {
    /// Returns the server to use in place of `server` in a copy of the list.
    fn apply(&mut self, server: Server) -> Server {
        let is_stale = self.former.contains(&server.incarnation) || self.reverts_leaving(&server);
        self.contradicting_copies = if is_stale {
            self.contradicting_copies + 1
        } else {
            0
        };
        if is_stale && self.contradicting_copies < MIN_CONTRADICTING_COPIES {
            return self.current.clone();
        }
        if server.incarnation != self.current.incarnation {
            self.former.retain(|former| *former != server.incarnation);
            self.former.push(Arc::clone(&self.current.incarnation));
            if self.former.len() > MAX_FORMER_INCARNATIONS {
                self.former.remove(0);
            }
        }
        self.contradicting_copies = 0;
        self.current = server.clone();
        server
    }

    /// Returns whether `server` is the current incarnation as it was before it was leaving.
    fn reverts_leaving(&self, server: &Server) -> bool {
        let is_current = server.incarnation == self.current.incarnation;
        is_current && self.current.leaving && !server.leaving
    }
}

/// Tracks the current incarnation of each server on the list. Memory is linear in the list.
///
/// # Examples
///
/// ```
/// use curlewlift_core::gateway::ServerList;
/// use curlewlift_core::gateway::Incarnations;
/// let mut incarnations = Incarnations::default();
/// assert!(incarnations.apply(ServerList::default()).servers.is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Incarnations {
    servers: HashMap<Arc<str>, ServerHistory>,
}

impl Incarnations {
    /// Applies a copy of the list, and returns it with the current incarnation of each server only.
    ///
    /// A server that the copy lacks is forgotten; a later server of that name counts as a new
    /// start.
    pub fn apply(&mut self, server_list: ServerList) -> ServerList {
        let mut histories = HashMap::with_capacity(server_list.servers.len());
        let mut servers = Vec::with_capacity(server_list.servers.len());
        for server in self.deduplicate(server_list) {
            let name = Arc::clone(&server.name);
            let history = self.servers.remove(&name);
            let mut history = history.unwrap_or_else(|| ServerHistory {
                current: server.clone(),
                former: Vec::new(),
                contradicting_copies: 0,
            });
            servers.push(history.apply(server));
            histories.insert(name, history);
        }
        self.servers = histories;
        ServerList::new(servers)
    }

    /// Returns each server of a copy once. Of two incarnations it prefers the one that is not known
    /// as a former one, then the one that started last.
    fn deduplicate(&self, server_list: ServerList) -> Vec<Server> {
        let mut by_name: HashMap<Arc<str>, Server> = HashMap::new();
        for server in server_list.servers {
            let is_preferred = |other: &Server| {
                let order = |server: &Server| (!self.is_former(server), server.started_ms);
                order(&server) > order(other)
            };
            if by_name.get(&server.name).is_none_or(is_preferred) {
                by_name.insert(Arc::clone(&server.name), server);
            }
        }
        by_name.into_values().collect()
    }

    fn is_former(&self, server: &Server) -> bool {
        let history = self.servers.get(&server.name);
        history.is_some_and(|history| history.former.contains(&server.incarnation))
    }
}

//! Which incarnation of each backend server is the present one.
//!
//! Load pattern: servers crash and start again under the name that they had, several at once, while the
//! platform's list lags, repeats an older copy, or is read by another host. A copy that names the former
//! incarnation must not bring back what was believed of it.

use std::collections::HashMap;
use std::sync::Arc;

use super::Server;
use super::ServerList;

/// How many former incarnations of a server are remembered: one that crashes every few seconds has that
/// many within the time by which the platform's list lags.
const FORMER: usize = 8;

/// How many copies of the list in a row must name a former incarnation, or one that leaves as one that stays, for
/// it to be so after all: what one copy repeats, a second repeats too, but a server that is there is named by all.
const STEADY: u32 = 3;

/// What is known of the incarnations of one server.
#[derive(Clone, Debug)]
struct ServerHistory {
    /// The present one, as the list last had it.
    present: Server,
    /// Those before it, newest last.
    former: Vec<Arc<str>>,
    /// How many copies in a row have named a former one, or the present one as it was before it left.
    contradicted: u32,
}

impl ServerHistory {
    /// What stands for the server on a list that names `server`.
    fn take(&mut self, server: Server) -> Server {
        let is_older = self.former.contains(&server.incarnation) || self.stays_again(&server);
        self.contradicted = if is_older { self.contradicted + 1 } else { 0 };
        if is_older && self.contradicted < STEADY {
            return self.present.clone();
        }
        if server.incarnation != self.present.incarnation {
            self.former.retain(|former| *former != server.incarnation);
            self.former.push(Arc::clone(&self.present.incarnation));
            if self.former.len() > FORMER {
                self.former.remove(0);
            }
        }
        self.contradicted = 0;
        self.present = server.clone();
        server
    }

    /// Whether `server` is the present incarnation as it was before it was to leave.
    fn stays_again(&self, server: &Server) -> bool {
        let is_present = server.incarnation == self.present.incarnation;
        is_present && self.present.leaving && !server.leaving
    }
}

/// The present incarnation of each server on the list; memory is linear in the list.
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
    known: HashMap<Arc<str>, ServerHistory>,
}

impl Incarnations {
    /// Takes up a copy of the list; gives it with each server once, in its present incarnation.
    ///
    /// A server that the copy leaves out is forgotten: what comes under its name later is a start anew.
    pub fn apply(&mut self, listing: ServerList) -> ServerList {
        let mut known = HashMap::with_capacity(listing.servers.len());
        let mut servers = Vec::with_capacity(listing.servers.len());
        for server in self.once_each(listing) {
            let name = Arc::clone(&server.name);
            let life = self.known.remove(&name);
            let mut life = life.unwrap_or_else(|| ServerHistory {
                present: server.clone(),
                former: Vec::new(),
                contradicted: 0,
            });
            servers.push(life.take(server));
            known.insert(name, life);
        }
        self.known = known;
        ServerList::new(servers)
    }

    /// The servers of a copy, each once: of two incarnations the one that is not known as a former one,
    /// else the one that began last.
    fn once_each(&self, listing: ServerList) -> Vec<Server> {
        let mut each: HashMap<Arc<str>, Server> = HashMap::new();
        for server in listing.servers {
            let goes_before = |other: &Server| {
                let order = |server: &Server| (!self.is_former(server), server.started_ms);
                order(&server) > order(other)
            };
            if each.get(&server.name).is_none_or(goes_before) {
                each.insert(Arc::clone(&server.name), server);
            }
        }
        each.into_values().collect()
    }

    fn is_former(&self, server: &Server) -> bool {
        let life = self.known.get(&server.name);
        life.is_some_and(|life| life.former.contains(&server.incarnation))
    }
}

//! The backend servers of a pool, with what is asked of all of them kept at hand.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use crate::gateway::Server;

use super::server_state::ServerState;

/// The backend servers of a pool.
///
/// At its worst load all servers are full, and each request that ends makes room at one: what is changed
/// one server at a time keeps a turn's cost from growing with their number.
#[derive(Debug)]
pub(super) struct ServerSet {
    servers: Vec<ServerState>,
    /// The place of each incarnation among the servers.
    places: HashMap<Arc<str>, usize>,
    /// The places of those that have room for new work.
    free: BTreeSet<usize>,
    paces: Paces,
    /// Those with room whose pace is known, the fastest first, by its bits: paces are not below zero.
    fast: BTreeSet<(u64, usize)>,
    /// How many requests beyond its slots a server may have in flight.
    over: u32,
}

impl ServerSet {
    /// No servers yet; each may have `over` requests in flight beyond its slots.
    pub(super) fn new(over: u32) -> Self {
        Self {
            servers: Vec::new(),
            places: HashMap::new(),
            free: BTreeSet::new(),
            paces: Paces::default(),
            fast: BTreeSet::new(),
            over,
        }
    }

    /// All of them.
    pub(super) fn all(&self) -> impl Iterator<Item = &ServerState> {
        self.servers.iter()
    }

    /// The server at a place.
    pub(super) fn at(&self, place: usize) -> &ServerState {
        &self.servers[place]
    }

    /// The places of those that have room for new work.
    pub(super) fn free(&self) -> &BTreeSet<usize> {
        &self.free
    }

    /// The places of those with room whose pace is known, the fastest first.
    pub(super) fn fastest(&self) -> impl Iterator<Item = usize> {
        self.fast.iter().map(|(_, place)| *place)
    }

    /// The mean pace of all servers, in seconds.
    pub(super) fn mean_pace(&self) -> f64 {
        self.paces.mean()
    }

    /// What is known of an incarnation.
    pub(super) fn get(&self, incarnation: &str) -> Option<&ServerState> {
        let place = self.places.get(incarnation)?;
        self.servers.get(*place)
    }

    /// Whether it has an incarnation.
    pub(super) fn has(&self, incarnation: &str) -> bool {
        self.places.contains_key(incarnation)
    }

    /// Changes what is known of an incarnation; none where it is not known.
    pub(super) fn update<T>(
        &mut self,
        incarnation: &str,
        change: impl FnOnce(&mut ServerState) -> T,
    ) -> Option<T> {
        let place = *self.places.get(incarnation)?;
        self.update_at(place, change)
    }

    /// Changes what is known of the server at a place.
    pub(super) fn update_at<T>(
        &mut self,
        place: usize,
        change: impl FnOnce(&mut ServerState) -> T,
    ) -> Option<T> {
        let known = self.servers.get_mut(place)?;
        let before = known.pace();
        self.paces.take(before);
        let result = change(known);
        let after = known.pace();
        self.paces.add(after);
        let has_room = known.has_room(self.over);
        if let Some(before) = before {
            self.fast.remove(&(before.to_bits(), place));
        }
        if let Some(after) = after.filter(|_| has_room) {
            self.fast.insert((after.to_bits(), place));
        }
        if has_room {
            self.free.insert(place);
        } else {
            self.free.remove(&place);
        }
        Some(result)
    }

    /// Changes what is known of each of them.
    pub(super) fn update_all(&mut self, change: impl Fn(&mut ServerState)) {
        for known in &mut self.servers {
            change(known);
        }
        self.index();
    }

    /// Takes up a list; what is known of an incarnation that stays is kept, and what is off the list but
    /// still runs requests from here stays until they end.
    pub(super) fn adopt(&mut self, servers: Vec<Arc<Server>>) {
        let former = std::mem::take(&mut self.servers).into_iter();
        let mut former: HashMap<_, _> = former
            .map(|known| (Arc::clone(&known.server.incarnation), known))
            .collect();
        for server in servers {
            let mut known = match former.remove(&server.incarnation) {
                Some(known) => known,
                None => ServerState::new(Arc::clone(&server)),
            };
            known.server = server;
            known.listed = true;
            self.servers.push(known);
        }
        let stay = former.into_values().filter(|known| known.own > 0);
        self.servers.extend(stay.map(ServerState::unlisted));
        self.index();
    }

    /// Adds a server that is not on the list, and was named with a place.
    pub(super) fn add_named(&mut self, server: Arc<Server>) {
        self.servers.push(ServerState::new(server).unlisted());
        self.index();
    }

    /// Drops an incarnation.
    pub(super) fn remove(&mut self, incarnation: &str) {
        self.servers
            .retain(|known| &*known.server.incarnation != incarnation);
        self.index();
    }

    /// Works out anew what is kept at hand.
    fn index(&mut self) {
        let servers = self.servers.iter().enumerate();
        let places = servers.map(|(place, known)| (Arc::clone(&known.server.incarnation), place));
        self.places = places.collect();
        let servers = self.servers.iter().enumerate();
        let free = servers.filter(|(_, known)| known.has_room(self.over));
        self.free = free.map(|(place, _)| place).collect();
        let fast = self.free.iter();
        let fast = fast.filter_map(|place| Some((self.servers[*place].pace()?.to_bits(), *place)));
        self.fast = fast.collect();
        self.paces = Paces::default();
        for known in &self.servers {
            self.paces.add(known.pace());
        }
    }
}

/// The paces of all servers that are known, summed up.
#[derive(Debug, Default)]
struct Paces {
    /// In seconds.
    sum: f64,
    count: f64,
}

impl Paces {
    fn add(&mut self, pace: Option<f64>) {
        self.sum += pace.unwrap_or(0.0);
        self.count += if pace.is_some() { 1.0 } else { 0.0 };
    }

    fn take(&mut self, pace: Option<f64>) {
        self.sum -= pace.unwrap_or(0.0);
        self.count -= if pace.is_some() { 1.0 } else { 0.0 };
    }

    /// The usual pace where none is known yet.
    fn mean(&self) -> f64 {
        if self.count > 0.0 {
            self.sum / self.count
        } else {
            1.0
        }
    }
}

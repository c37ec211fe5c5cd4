//! The backend servers of a pool, with indexes by incarnation, free room and latency.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Instant;
use crate::gateway::Server;

use super::in_flight::InFlightLimit;
use super::in_flight::Limit;
use super::in_flight::Service;
use super::server_state::ServerState;

/// The backend servers of a pool.
///
/// Under the heaviest load all servers are full, and each request that ends makes room at one of them. Updating the
/// indexes for one server at a time keeps the cost of an assignment independent of the number of servers.
#[derive(Debug)]
pub(super) struct ServerSet {
    servers: Vec<ServerState>,
    /// The index of each incarnation in `servers`.
    indices: HashMap<Arc<str>, usize>,
    /// The indices of servers with room for new work.
    free: BTreeSet<usize>,
    latencies: LatencySum,
    /// The servers with room and known latency, the fastest first, keyed by the latency's bits. Those sort like the
    /// numbers because latencies are not negative.
    free_by_latency: BTreeSet<(u64, usize)>,
    /// How many requests beyond its slots a server may have in flight before that is measured.
    extra_in_flight: u32,
    /// What the limits of the servers are measured by; `None` if they are not measured.
    in_flight: Option<Service>,
}

impl ServerSet {
    /// An empty set, whose servers may have `extra_in_flight` requests in flight beyond their slots.
    pub(super) fn new(extra_in_flight: u32) -> Self {
        Self {
            servers: Vec::new(),
            indices: HashMap::new(),
            free: BTreeSet::new(),
            latencies: LatencySum::default(),
            free_by_latency: BTreeSet::new(),
            extra_in_flight,
            in_flight: None,
        }
    }

    /// Sets whether the number of requests in flight is measured.
    pub(super) fn set_measured(&mut self, measured: bool) {
        if measured != self.in_flight.is_some() {
            self.in_flight = measured.then(Service::default);
            self.update_all(|state| state.limit = Limit::default());
        }
    }

    /// What the limits are measured by; `None` if they are not measured.
    pub(super) fn in_flight_mut(&mut self) -> Option<&mut Service> {
        self.in_flight.as_mut()
    }

    /// Decides the limit of an incarnation, if limits are measured.
    pub(super) fn decide_limit(&mut self, incarnation: &str) {
        let Some(service) = self.in_flight else {
            return;
        };
        let extra = self.extra_in_flight;
        self.update(incarnation, |state| {
            let slots = state.server.slots.max(1);
            state.limit.decide(&service, slots, extra);
        });
    }

    /// Whether limits are measured, and the first requests arrived too recently for a measurement.
    pub(super) fn is_new(&self, now: Instant) -> bool {
        let service = self.in_flight.as_ref();
        service.is_some_and(|service| service.is_new(now))
    }

    /// The limit of each server; empty if limits are not measured.
    pub(super) fn limits(&self) -> impl Iterator<Item = InFlightLimit> {
        let servers = self.servers.iter().filter(|_| self.in_flight.is_some());
        servers.map(|state| {
            let slots = state.server.slots.max(1);
            InFlightLimit {
                incarnation: Arc::clone(&state.server.incarnation),
                slots,
                limit: state.limit.get(slots + self.extra_in_flight),
                reason: state.limit.reason(),
            }
        })
    }

    /// All servers.
    pub(super) fn all(&self) -> impl Iterator<Item = &ServerState> {
        self.servers.iter()
    }

    /// The server at `index`.
    pub(super) fn at(&self, index: usize) -> &ServerState {
        &self.servers[index]
    }

    /// The indices of servers with room for new work.
    pub(super) fn free(&self) -> &BTreeSet<usize> {
        &self.free
    }

    /// The indices of servers with room and known latency, the fastest first.
    pub(super) fn fastest(&self) -> impl Iterator<Item = usize> {
        self.free_by_latency.iter().map(|(_, index)| *index)
    }

    /// The mean latency of all servers, in seconds.
    pub(super) fn mean_latency(&self) -> f64 {
        self.latencies.mean()
    }

    /// The state of an incarnation.
    pub(super) fn get(&self, incarnation: &str) -> Option<&ServerState> {
        let index = self.indices.get(incarnation)?;
        self.servers.get(*index)
    }

    /// Whether the set contains an incarnation.
    pub(super) fn contains(&self, incarnation: &str) -> bool {
        self.indices.contains_key(incarnation)
    }

    /// Changes the state of an incarnation; `None` if the set does not contain it.
    pub(super) fn update<T>(
        &mut self,
        incarnation: &str,
        change: impl FnOnce(&mut ServerState) -> T,
    ) -> Option<T> {
        let index = *self.indices.get(incarnation)?;
        self.update_at(index, change)
    }

    /// Changes the state of the server at `index`.
    pub(super) fn update_at<T>(
        &mut self,
        index: usize,
        change: impl FnOnce(&mut ServerState) -> T,
    ) -> Option<T> {
        let state = self.servers.get_mut(index)?;
        let before = state.latency();
        self.latencies.subtract(before);
        let result = change(state);
        let after = state.latency();
        self.latencies.add(after);
        let has_room = state.has_room(self.extra_in_flight);
        if let Some(before) = before {
            self.free_by_latency.remove(&(before.to_bits(), index));
        }
        if let Some(after) = after.filter(|_| has_room) {
            self.free_by_latency.insert((after.to_bits(), index));
        }
        if has_room {
            self.free.insert(index);
        } else {
            self.free.remove(&index);
        }
        Some(result)
    }

    /// Changes the state of each server.
    pub(super) fn update_all(&mut self, change: impl Fn(&mut ServerState)) {
        for state in &mut self.servers {
            change(state);
        }
        self.rebuild_indexes();
    }

    /// Replaces the servers by those of a list. The state of incarnations that stay is retained, and servers that are
    /// no longer listed but still run requests from here stay until these end.
    pub(super) fn replace(&mut self, servers: Vec<Arc<Server>>) {
        let previous = std::mem::take(&mut self.servers).into_iter();
        let mut previous: HashMap<_, _> = previous
            .map(|state| (Arc::clone(&state.server.incarnation), state))
            .collect();
        for server in servers {
            let mut state = match previous.remove(&server.incarnation) {
                Some(state) => state,
                None => ServerState::new(Arc::clone(&server)),
            };
            state.server = server;
            state.is_listed = true;
            self.servers.push(state);
        }
        let busy = previous
            .into_values()
            .filter(|state| state.own_requests > 0);
        self.servers.extend(busy.map(ServerState::unlisted));
        self.rebuild_indexes();
    }

    /// Adds a server that is not on the list but was named in a slot grant.
    pub(super) fn add_unlisted(&mut self, server: Arc<Server>) {
        self.servers.push(ServerState::new(server).unlisted());
        self.rebuild_indexes();
    }

    /// Removes an incarnation.
    pub(super) fn remove(&mut self, incarnation: &str) {
        self.servers
            .retain(|state| &*state.server.incarnation != incarnation);
        self.rebuild_indexes();
    }

    /// Recomputes all indexes.
    fn rebuild_indexes(&mut self) {
        let servers = self.servers.iter().enumerate();
        let indices = servers.map(|(index, state)| (Arc::clone(&state.server.incarnation), index));
        self.indices = indices.collect();
        let servers = self.servers.iter().enumerate();
        let free = servers.filter(|(_, state)| state.has_room(self.extra_in_flight));
        self.free = free.map(|(index, _)| index).collect();
        let by_latency = self.free.iter();
        let by_latency = by_latency
            .filter_map(|index| Some((self.servers[*index].latency()?.to_bits(), *index)));
        self.free_by_latency = by_latency.collect();
        self.latencies = LatencySum::default();
        for state in &self.servers {
            self.latencies.add(state.latency());
        }
    }
}

/// The sum of all known server latencies.
#[derive(Debug, Default)]
struct LatencySum {
    /// In seconds.
    sum: f64,
    count: f64,
}

impl LatencySum {
    fn add(&mut self, latency: Option<f64>) {
        self.sum += latency.unwrap_or(0.0);
        self.count += if latency.is_some() { 1.0 } else { 0.0 };
    }

    fn subtract(&mut self, latency: Option<f64>) {
        self.sum -= latency.unwrap_or(0.0);
        self.count -= if latency.is_some() { 1.0 } else { 0.0 };
    }

    /// The mean latency; 1 if none is known yet.
    fn mean(&self) -> f64 {
        if self.count > 0.0 {
            self.sum / self.count
        } else {
            1.0
        }
    }
}

//! What the tasks of a gateway share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock;
use curlewlift_core::event::Kind;
use curlewlift_core::gateway;
use curlewlift_core::gateway::Listing;
use curlewlift_core::gateway::Load;
use curlewlift_core::gateway::Roll;
use curlewlift_core::gateway::Server;
use curlewlift_core::id;
use curlewlift_core::pool;
use curlewlift_core::pool::Allowed;
use curlewlift_core::pool::Budget;
use curlewlift_core::pool::End;
use curlewlift_core::pool::Pool;
use curlewlift_core::pool::Ticket;
use curlewlift_core::pool::Turn;
use curlewlift_core::quota::Share;
use curlewlift_core::quota::Tolerance;
use curlewlift_core::route::Table;
use rand::Rng;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::process::Clock;
use crate::rpc;

use super::dialect::Dialect;
use super::log::Line;

/// What a gateway knows of the hub.
#[derive(Debug, Default)]
pub(super) struct Hub {
    /// The host that leads, by the last word.
    pub(super) leader: Option<id::Host>,
    /// When it last answered.
    pub(super) heard: Option<clock::Instant>,
    /// The hosts of the control replicas.
    pub(super) control: Vec<id::Host>,
    /// The version of the list that it held at its last word.
    pub(super) listing: u64,
    /// How many gateways there are.
    pub(super) count: u32,
    /// Whether this gateway fetches the list for all.
    pub(super) fetches: bool,
}

/// A service's pool and budget, and who waits for a turn.
pub(super) struct Service {
    pub(super) pool: Pool,
    pub(super) budget: Budget,
    waiters: HashMap<Ticket, oneshot::Sender<Turn>>,
}

/// What the tasks of a gateway share; one task at a time has it, and none holds a part over a wait.
pub(crate) struct Node {
    pub(super) host: id::Host,
    pub(super) incarnation: u64,
    pub(super) gateway: gateway::Gateway,
    pub(super) dialect: Dialect,
    pub(super) allowed: Allowed,
    pub(super) clock: Clock,
    pub(super) rpc: rpc::Client,
    pub(super) table: RefCell<Option<Rc<Table>>>,
    pub(super) services: RefCell<BTreeMap<id::Service, Service>>,
    pub(super) listing: RefCell<Listing>,
    pub(super) listed: Cell<Option<clock::Instant>>,
    pub(super) roll: RefCell<Roll>,
    pub(super) share: RefCell<Share>,
    pub(super) hub: RefCell<Hub>,
    pub(super) stopping: Cell<Option<clock::Instant>>,
    pub(super) closed: Cell<bool>,
    pub(super) open: Cell<usize>,
    pub(super) finished: Cell<u64>,
    pub(super) changed: Notify,
}

impl Node {
    pub(super) fn new(
        host: id::Host,
        gateway: gateway::Gateway,
        dialect: Dialect,
        allowed: Allowed,
        tolerance: Tolerance,
        rpc: rpc::Client,
    ) -> Self {
        Self {
            host,
            incarnation: rand::rng().next_u64(),
            gateway,
            dialect,
            allowed,
            clock: Clock::start(),
            rpc,
            table: RefCell::default(),
            services: RefCell::default(),
            listing: RefCell::default(),
            listed: Cell::new(None),
            roll: RefCell::default(),
            share: RefCell::new(Share::new(tolerance)),
            hub: RefCell::default(),
            stopping: Cell::new(None),
            closed: Cell::new(false),
            open: Cell::new(0),
            finished: Cell::new(0),
            changed: Notify::new(),
        }
    }

    pub(super) fn now(&self) -> clock::Instant {
        self.clock.now()
    }

    /// The table in force here.
    pub(super) fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// Whether callers may be sent here: it can serve, and is not stopping.
    pub(crate) fn is_ready(&self) -> bool {
        self.stopping.get().is_none()
            && self.table.borrow().is_some()
            && self.listed.get().is_some()
    }

    /// The gateways that live, nearest ones for a caller in `hall`, by the last word of the hub.
    pub(crate) fn gateways(&self, hall: &str) -> Vec<SocketAddr> {
        let roll = self.roll.borrow();
        let near = roll.gateways.iter().filter(|other| *other.hall == *hall);
        let near: Vec<_> = near.map(|other| other.callers).collect();
        if near.len() >= NEAR {
            return near;
        }
        let all: Vec<_> = roll.gateways.iter().map(|other| other.callers).collect();
        if all.is_empty() && self.is_ready() {
            return vec![self.gateway.callers];
        }
        all
    }

    /// How long this gateway's hub has been silent; none where it was never heard.
    pub(super) fn hub_silence(&self) -> Option<Duration> {
        let heard = self.hub.borrow().heard;
        heard.map(|heard| self.now().since(heard))
    }
}

/// How many gateways a caller's own data hall must have for it to be sent to those only: one that
/// fails leaves another.
const NEAR: usize = 2;

/// # What it takes up
impl Node {
    /// Puts a table in force that is newer than the one held.
    pub(super) fn adopt_table(&self, table: Table) {
        let number = table.get_number();
        let held = self.table().map_or(0, |table| table.get_number());
        if number <= held {
            return;
        }
        Line::new(Kind::TableHeld)
            .with("table", number)
            .with("former", held)
            .write();
        *self.table.borrow_mut() = Some(Rc::new(table));
        self.spread();
    }

    /// Puts a list in force.
    pub(super) fn adopt_listing(&self, listing: Listing) {
        self.listed.set(Some(self.now()));
        if listing.version == self.listing.borrow().version {
            return;
        }
        let leaving = listing.servers.iter().filter(|server| server.leaving);
        Line::new(Kind::ListHeld)
            .with("version", listing.version)
            .with("servers", listing.servers.len())
            .with("leaving", leaving.count())
            .write();
        *self.listing.borrow_mut() = listing;
        self.spread();
    }

    /// Gives every service its servers.
    fn spread(&self) {
        let listing = self.listing.borrow();
        let mut by_service: BTreeMap<id::Service, Vec<Arc<Server>>> = BTreeMap::new();
        for server in &listing.servers {
            let servers = by_service.entry(server.service.clone()).or_default();
            servers.push(Arc::new(server.clone()));
        }
        drop(listing);
        let mut services = self.services.borrow_mut();
        if let Some(table) = &*self.table.borrow() {
            for name in table.get_services().keys() {
                if !services.contains_key(name) {
                    services.insert(name.clone(), self.service());
                }
            }
        }
        for (name, service) in services.iter_mut() {
            let servers = by_service.remove(name).unwrap_or_default();
            service.pool.adopt(servers);
        }
        drop(services);
        self.serve_all();
    }

    fn service(&self) -> Service {
        let hall = Arc::clone(&self.gateway.hall);
        let seed = rand::rng().next_u64();
        Service {
            pool: Pool::new(hall, pool::Tuning::default(), seed),
            budget: Budget::new(self.allowed),
            waiters: HashMap::new(),
        }
    }

    /// Takes up what other gateways have in flight.
    pub(super) fn hear(&self, loads: &[Load]) {
        let mut services = self.services.borrow_mut();
        for service in services.values_mut() {
            service.pool.hear(loads);
        }
        drop(services);
        self.serve_all();
    }

    /// What is in flight from here.
    pub(super) fn loads(&self) -> Vec<Load> {
        let services = self.services.borrow();
        let services = services.values();
        services.flat_map(|service| service.pool.loads()).collect()
    }
}

/// # Turns
impl Node {
    /// Puts a request in line; none where there is no such service.
    pub(super) fn ask(
        &self,
        name: &id::Service,
        ask: pool::Ask,
    ) -> Option<(Ticket, oneshot::Receiver<Turn>)> {
        let mut services = self.services.borrow_mut();
        let service = services.get_mut(name)?;
        let (ticket, turned_away) = service.pool.ask(ask);
        let (sender, receiver) = oneshot::channel();
        service.waiters.insert(ticket, sender);
        if let Some(last) = turned_away {
            // Dropping the sender tells the waiter that it lost its place.
            service.waiters.remove(&last);
        }
        drop(services);
        self.serve(name);
        Some((ticket, receiver))
    }

    /// Takes a request out of line.
    pub(super) fn leave(&self, name: &id::Service, ticket: Ticket) {
        if let Some(service) = self.services.borrow_mut().get_mut(name) {
            service.pool.leave(ticket);
            service.waiters.remove(&ticket);
        }
    }

    /// Takes note of how a sending ended, and gives turns for the room that it made.
    pub(super) fn ended(&self, name: &id::Service, incarnation: &str, end: End) {
        let now = self.now();
        if let Some(service) = self.services.borrow_mut().get_mut(name) {
            service.pool.ended(incarnation, end, now);
        }
        self.serve(name);
    }

    /// Does something with a service's pool.
    pub(super) fn with_pool<T>(
        &self,
        name: &id::Service,
        work: impl FnOnce(&mut Service) -> T,
    ) -> Option<T> {
        self.services.borrow_mut().get_mut(name).map(work)
    }

    /// Gives turns at every service.
    pub(super) fn serve_all(&self) {
        let names: Vec<_> = self.services.borrow().keys().cloned().collect();
        for name in names {
            self.serve(&name);
        }
    }

    fn serve(&self, name: &id::Service) {
        let now = self.now();
        let mut services = self.services.borrow_mut();
        let Some(service) = services.get_mut(name) else {
            return;
        };
        for turn in service.pool.serve(now) {
            let incarnation = Arc::clone(&turn.server.incarnation);
            let waiter = service.waiters.remove(&turn.ticket);
            let taken = waiter.is_some_and(|waiter| waiter.send(turn).is_ok());
            if !taken {
                service.pool.ended(&incarnation, End::Nothing, now);
            }
        }
    }

    /// How many wait for a turn.
    pub(super) fn waiting(&self) -> usize {
        let services = self.services.borrow();
        services
            .values()
            .map(|service| service.pool.waiting())
            .sum()
    }
}

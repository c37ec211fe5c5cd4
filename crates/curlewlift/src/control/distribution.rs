//! Gives routing tables to gateways that have older ones, in chunks. Every host that has a table does.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::publication::Chunk;
use curlewlift_core::publication::Distribution;
use curlewlift_core::publication::Job;
use curlewlift_core::publication::Payload;
use curlewlift_core::publication::Store;
use curlewlift_core::state::Publication;
use tokio::sync::Notify;

use crate::blocking;
use crate::process::Clock;
use crate::rpc::TableRequest;

/// How long a gateway waits for a slot before it is told to ask another host.
const SLOT_TIMEOUT: Duration = Duration::from_millis(100);

/// Size in bytes up to which a payload needs no slot: it takes less of a link than the call itself.
const MAX_BYTES_WITHOUT_SLOT: usize = 2 << 10;

/// The tables that this host gives to others, and to whom.
pub(crate) struct Distributor {
    clock: Clock,
    store: RefCell<Store>,
    slots: RefCell<Distribution>,
    /// Wakes a gateway that waits for a slot.
    free_slot: Notify,
    /// The payloads that are being computed, by the versions of the table that they patch and of the result.
    computing: RefCell<BTreeSet<(u64, u64)>>,
    /// Wakes gateways that wait for a payload.
    computed: Notify,
}

impl Distributor {
    /// Creates one without a table.
    pub(crate) fn new(clock: Clock, slots: Distribution) -> Rc<Self> {
        Rc::new(Self {
            clock,
            store: RefCell::default(),
            slots: RefCell::new(slots),
            free_slot: Notify::new(),
            computing: RefCell::default(),
            computed: Notify::new(),
        })
    }

    /// Adds a table, from which patches can be computed.
    pub(crate) fn add_table(&self, publication: &Publication) {
        self.store.borrow_mut().add_table(publication);
    }

    /// Adds a payload that was received from another host, by a gateway that had table `in_effect`.
    pub(crate) fn add_payload(&self, in_effect: u64, payload: Arc<Payload>) {
        self.store.borrow_mut().add_payload(in_effect, payload);
    }

    /// The chunk that a gateway asks for; none if this host has nothing for it, or no slot becomes free in time.
    pub(crate) async fn chunk(self: &Rc<Self>, request: &TableRequest) -> Option<Chunk> {
        let payload = self.payload(request).await?;
        let continues = request.partial == Some(payload.get_id());
        let chunk = Chunk::cut(&payload, if continues { request.from } else { 0 });
        if chunk.payload.len <= MAX_BYTES_WITHOUT_SLOT {
            return Some(chunk);
        }
        let until = tokio::time::Instant::now() + SLOT_TIMEOUT;
        while !self.admit(request) {
            let free_slot = self.free_slot.notified();
            if tokio::time::timeout_at(until, free_slot).await.is_err() {
                return None;
            }
        }
        if chunk.is_last() {
            self.slots.borrow_mut().finish(&request.host);
            self.free_slot.notify_one();
        }
        Some(chunk)
    }

    fn admit(&self, request: &TableRequest) -> bool {
        let now = self.clock.now();
        self.slots.borrow_mut().admit(&request.host, now)
    }

    /// The payload for a gateway, computed on another thread if it is not stored.
    async fn payload(self: &Rc<Self>, request: &TableRequest) -> Option<Arc<Payload>> {
        loop {
            let computed = self.computed.notified();
            let found = self.store.borrow().find(request.in_effect, request.partial);
            if found.is_some() {
                return found;
            }
            let job = self.store.borrow().job(request.in_effect)?;
            if self.computing.borrow_mut().insert(job.versions()) {
                // The computation goes on for others if this gateway stops waiting.
                let this = Rc::clone(self);
                tokio::task::spawn_local(async move { this.compute(job).await });
            }
            computed.await;
        }
    }

    /// Computes and stores a payload.
    async fn compute(&self, job: Job) {
        let (base, version) = job.versions();
        let computation = job.clone();
        let payload = blocking::run(move || computation.run()).await;
        let payload = payload.unwrap_or_else(|why| {
            log::error!("no patch from table {base} to {version} can be computed: {why}");
            job.whole()
        });
        self.add_payload(base, Arc::new(payload));
        self.computing.borrow_mut().remove(&(base, version));
        self.computed.notify_waiters();
    }

    /// Frees the slots of gateways that have stopped asking.
    pub(crate) fn expire(&self, now: Instant) {
        for _ in 0..self.slots.borrow_mut().expire(now) {
            self.free_slot.notify_one();
        }
    }
}

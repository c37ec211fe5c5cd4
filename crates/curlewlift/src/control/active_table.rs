//! Keeps the leader's hub at the active routing table.
//!
//! Tables are decoded on another thread: on the replica's own one a large table would delay heartbeats for so long that
//! the leader is replaced.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::code::Refusal;
use curlewlift_core::gateway::Hub;
use curlewlift_core::route::Table;
use curlewlift_core::state::Publication;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::blocking;

use super::hub;
use super::replica::State;

type Shared = Rc<RefCell<State>>;

/// How long a poll waits for the hub of a new leader, which has to decode the active table first. Gateways wait longer for
/// the reply.
const MAX_HUB_WAIT: Duration = Duration::from_millis(250);

/// A table that was decoded on another thread.
pub(super) struct DecodedTable {
    publication: Publication,
    table: Result<Table, Refusal>,
}

impl State {
    /// Sets up the leader's hub. It serves gateways once it has the active table.
    pub(super) fn start_hub(&mut self, hub: Hub) {
        self.waiting_hub = Some(hub);
        self.apply_table();
    }

    /// Updates the hub to the active table. Until that is decoded, the hub serves nobody.
    pub(super) fn apply_table(&mut self) {
        let publication = self.machine.get_publication();
        let prepared = self
            .prepared_table
            .take_if(|(prepared, _)| prepared == publication);
        if let Some((_, table)) = prepared {
            let now = self.clock.now();
            // Before any gateway hears of the table: the hub charges nothing to a customer that it does not know.
            if let Some(hub) = self.hub.as_mut().or(self.waiting_hub.as_mut()) {
                hub.apply_table(&table, now);
            }
            self.resume_hub();
            return;
        }
        self.waiting_hub = self.hub.take().or_else(|| self.waiting_hub.take());
        if self.waiting_hub.is_none() {
            return;
        }
        if self.machine.get_publication().version == 0 {
            self.resume_hub();
        } else {
            self.decode_table();
        }
    }

    /// Decodes the active table on another thread, unless that is under way.
    fn decode_table(&mut self) {
        let publication = self.machine.get_publication().clone();
        let Some(gateways) = &self.gateways else {
            return;
        };
        if self.decoding.as_ref() == Some(&publication) {
            return;
        }
        self.decoding = Some(publication.clone());
        let decode = gateways.decode;
        let decoded_tables = self.decoded_tables.clone();
        tokio::task::spawn_local(async move {
            let encoded = publication.clone();
            let table = blocking::run(move || decode(&encoded)).await;
            // Fails only if the replica has ended.
            let _ = decoded_tables.send(DecodedTable { publication, table });
        });
    }

    /// Applies a table that was decoded, unless another one is active by now.
    pub(super) fn on_decoded(&mut self, decoded: DecodedTable) {
        let DecodedTable { publication, table } = decoded;
        self.decoding.take_if(|decoding| *decoding == publication);
        if *self.machine.get_publication() != publication {
            return;
        }
        let Some(hub) = &mut self.waiting_hub else {
            return;
        };
        match table {
            Ok(table) => hub.apply_table(&table, self.clock.now()),
            Err(why) => log::error!("cannot decode routing table {}: {why}", publication.version),
        }
        self.resume_hub();
    }

    /// Updates a hub that has waited for the active table to all other records, and wakes the calls that wait for it.
    fn resume_hub(&mut self) {
        if let Some(hub) = self.waiting_hub.take() {
            self.hub = Some(hub);
            self.apply_shares();
            self.apply_retry_blocks();
            self.apply_plans(None);
            self.apply_evacuated_halls();
            self.apply_quarantine_steps(&[]);
            self.apply_stream_versions(&[]);
        }
        self.updates.notify_waiters();
    }

    /// Drops the hub and what was prepared for it.
    pub(super) fn drop_hub(&mut self) {
        self.hub = None;
        self.waiting_hub = None;
        self.prepared_table = None;
    }
}

/// Waits for a limited time until the hub has the active table.
pub(super) async fn wait_for_hub(state: &Shared) {
    let until = Instant::now() + MAX_HUB_WAIT;
    loop {
        let updates = Rc::clone(&state.borrow().updates);
        let resumed = updates.notified();
        let waits = state.borrow().waiting_hub.is_some();
        if !waits || timeout_at(until, resumed).await.is_err() {
            return;
        }
    }
}

/// Decodes a table that is about to be committed.
pub(super) async fn prepare(state: &Shared, publication: &Publication) -> Result<(), Refusal> {
    let gateways = state.borrow().gateways.clone();
    let decode = gateways.ok_or_else(hub::not_ready)?.decode;
    let prepared = publication.clone();
    let prepared = blocking::run(move || {
        let table = decode(&prepared)?;
        Ok((prepared, table))
    });
    let prepared = prepared.await?;
    state.borrow_mut().prepared_table = Some(prepared);
    Ok(())
}

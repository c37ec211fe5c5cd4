//! The routing table in effect at a gateway, and what the gateway knows of newer ones.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::clock;
use curlewlift_core::event::Kind;
use curlewlift_core::publication::Holder;
use curlewlift_core::publication::Standing;
use curlewlift_core::route::Table;
use curlewlift_core::state::Publication;
use tokio::sync::Notify;

use super::log::Line;
use super::log::millis;
use super::node::Node;

/// The routing table in effect at a gateway.
pub(super) struct HeldTable {
    /// The table; none before the first one has arrived.
    table: RefCell<Option<Rc<Table>>>,
    /// Its document, to which patches are applied.
    publication: RefCell<Publication>,
    /// What may be decided by it.
    holder: RefCell<Holder>,
    /// Wakes requests that wait for a table, or for the certainty that it is the newest.
    wakeup: Notify,
}

impl HeldTable {
    /// Creates one without a table. Requests may be forwarded by a table until `max_outdated` after a newer one was
    /// announced.
    pub(super) fn new(max_outdated: Duration) -> Self {
        Self {
            table: RefCell::default(),
            publication: RefCell::default(),
            holder: RefCell::new(Holder::new(max_outdated)),
            wakeup: Notify::new(),
        }
    }
}

/// # The routing table
impl Node {
    /// The table in effect here. What may be decided by it is for [`Node::table_standing`] to say.
    pub(super) fn table(&self) -> Option<Rc<Table>> {
        self.held_table.table.borrow().clone()
    }

    /// What may be decided by the table in effect here.
    pub(super) fn table_standing(&self) -> Standing {
        self.held_table.holder.borrow().standing(self.now())
    }

    /// Whether this gateway holds a lease on the newest table.
    pub(super) fn has_table_lease(&self) -> bool {
        self.held_table.holder.borrow().has_lease(self.now())
    }

    /// Version of the table in effect here; 0 before the first one has arrived.
    pub(super) fn table_version(&self) -> u64 {
        self.held_table.holder.borrow().get_in_effect()
    }

    /// Version of the newest table that this gateway knows of.
    pub(super) fn newest_table(&self) -> u64 {
        self.held_table.holder.borrow().newest()
    }

    /// The publication of the table in effect here.
    pub(super) fn publication(&self) -> Publication {
        self.held_table.publication.borrow().clone()
    }

    /// Waits until the table in effect or what may be decided by it has changed, for at most `time`.
    pub(super) async fn wait_for_table(&self, time: Duration) {
        let _ = tokio::time::timeout(time, self.held_table.wakeup.notified()).await;
    }

    /// Notes that the process at `source` knows table `version` to be committed.
    pub(super) fn announce_table(&self, version: u64, source: SocketAddr) {
        let is_news = self
            .held_table
            .holder
            .borrow_mut()
            .announce(version, self.now());
        if !is_news {
            return;
        }
        Line::new(Kind::TableAnnounced)
            .with("table", version)
            .with("in_effect", self.table_version())
            .with("by", source.to_string())
            .write();
        self.fetch_wakeup.notify_one();
    }

    /// Notes that the leader's reply to a poll that was sent at `sent_at` grants a lease on table `newest`.
    pub(super) fn confirm_table(&self, newest: u64, sent_at: clock::Instant, lease: Duration) {
        let mut holder = self.held_table.holder.borrow_mut();
        holder.confirm(newest, sent_at, lease);
        drop(holder);
        self.held_table.wakeup.notify_waiters();
    }

    /// Applies a table, which took `decode_time` to decode, if it is newer than the current one.
    pub(super) fn apply_table(
        &self,
        table: Table,
        publication: &Publication,
        decode_time: Duration,
    ) {
        let version = table.get_version();
        let former = self.table_version();
        let announced_at = self.held_table.holder.borrow().announced_at(version);
        if !self.held_table.holder.borrow_mut().apply(version) {
            return;
        }
        let since_announced = announced_at.map(|at| self.now().since(at));
        Line::new(Kind::TableHeld)
            .with("table", version)
            .with("former", former)
            .with("newest", self.newest_table())
            .with("after_ms", since_announced.map(millis))
            .with("decode_ms", millis(decode_time))
            .write();
        if let Some(since_announced) = since_announced {
            metrics::histogram!("curlewlift_table_in_effect_seconds")
                .record(since_announced.as_secs_f64());
        }
        self.retain_first_byte_times(&table);
        *self.held_table.table.borrow_mut() = Some(Rc::new(table));
        *self.held_table.publication.borrow_mut() = publication.clone();
        self.update_pools();
        self.held_table.wakeup.notify_waiters();
        // The acknowledgement of the table waits until the hub knows.
        self.report_wakeup.notify_one();
    }
}

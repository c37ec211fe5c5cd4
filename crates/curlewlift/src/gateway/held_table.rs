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

    /// Returns the table. What may be decided by it is for [`HeldTable::standing`] to say.
    pub(super) fn get(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// Returns the table's document.
    pub(super) fn publication(&self) -> Publication {
        self.publication.borrow().clone()
    }

    /// Returns what may be decided by the table.
    pub(super) fn standing(&self, now: clock::Instant) -> Standing {
        self.holder.borrow().standing(now)
    }

    /// Returns whether this gateway holds a lease on the newest table.
    pub(super) fn has_lease(&self, now: clock::Instant) -> bool {
        self.holder.borrow().has_lease(now)
    }

    /// Returns the version of the table; 0 before the first one has arrived.
    pub(super) fn version(&self) -> u64 {
        self.holder.borrow().get_in_effect()
    }

    /// Returns the version of the newest table that this gateway knows of.
    pub(super) fn newest(&self) -> u64 {
        self.holder.borrow().newest()
    }

    /// Waits until the table or what may be decided by it has changed, for at most `time`.
    pub(super) async fn changed(&self, time: Duration) {
        let _ = tokio::time::timeout(time, self.wakeup.notified()).await;
    }

    /// Notes that the process at `source` knows table `version` to be committed; returns whether that is news.
    pub(super) fn announce(&self, version: u64, source: SocketAddr, now: clock::Instant) -> bool {
        let is_news = self.holder.borrow_mut().announce(version, now);
        if is_news {
            Line::new(Kind::TableAnnounced)
                .with("table", version)
                .with("in_effect", self.version())
                .with("by", source.to_string())
                .write();
        }
        is_news
    }

    /// Notes that the leader's reply to a poll that was sent at `sent_at` grants a lease on table `newest`.
    pub(super) fn confirm(&self, newest: u64, sent_at: clock::Instant, lease: Duration) {
        self.holder.borrow_mut().confirm(newest, sent_at, lease);
        self.wakeup.notify_waiters();
    }

    /// Replaces the table by one that took `decode_time` to decode; returns false, and changes nothing, if that is not newer.
    pub(super) fn apply(
        &self,
        table: Table,
        publication: &Publication,
        decode_time: Duration,
        now: clock::Instant,
    ) -> bool {
        let version = table.get_version();
        let former = self.version();
        let announced_at = self.holder.borrow().announced_at(version);
        if !self.holder.borrow_mut().apply(version) {
            return false;
        }
        let since_announced = announced_at.map(|at| now.since(at));
        Line::new(Kind::TableHeld)
            .with("table", version)
            .with("former", former)
            .with("newest", self.newest())
            .with("after_ms", since_announced.map(millis))
            .with("decode_ms", millis(decode_time))
            .write();
        if let Some(since_announced) = since_announced {
            metrics::histogram!("curlewlift_table_in_effect_seconds")
                .record(since_announced.as_secs_f64());
        }
        *self.table.borrow_mut() = Some(Rc::new(table));
        *self.publication.borrow_mut() = publication.clone();
        self.wakeup.notify_waiters();
        true
    }
}

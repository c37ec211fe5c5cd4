//! Records this process's events, stamped by its hybrid clock.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use curlewlift_core::event::Clock;
use curlewlift_core::event::Filter;
use curlewlift_core::event::Line;
use curlewlift_core::event::Ring;
use curlewlift_core::event::Stamp;

/// The number of events that a process stores; older ones are dropped.
const MAX_EVENTS: usize = 20_000;

struct Inner {
    clock: Clock,
    ring: Ring,
}

/// Records this process's events; clones share one record.
#[derive(Clone)]
pub(crate) struct Timeline {
    host: Arc<str>,
    inner: Arc<Mutex<Inner>>,
}

impl Timeline {
    /// Creates an empty timeline of the process `host`.
    pub(crate) fn new(host: &str) -> Self {
        let inner = Inner {
            clock: Clock::default(),
            ring: Ring::new(MAX_EVENTS),
        };
        Self {
            host: host.into(),
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Stamps and stores `line`, and writes it to the log.
    pub(crate) fn note(&self, mut line: Line) {
        let mut inner = self.lock();
        line.stamp = inner.clock.now(wall_ms());
        self.host.as_ref().clone_into(&mut line.host);
        log::info!(target: "event", "{line}");
        inner.ring.push(line);
    }

    /// The next stamp of the hybrid clock.
    pub(crate) fn stamp(&self) -> Stamp {
        self.lock().clock.now(wall_ms())
    }

    /// Advances the hybrid clock past a stamp of another process.
    pub(crate) fn observe(&self, other: Stamp) {
        self.lock().clock.observe(other);
    }

    /// The stored events that match `filter`.
    pub(crate) fn select(&self, filter: &Filter) -> Vec<Line> {
        self.lock().ring.select(filter)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The wall clock in milliseconds since 1970; for display only, no decision depends on it.
fn wall_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

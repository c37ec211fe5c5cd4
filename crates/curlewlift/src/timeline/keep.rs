//! Keeps this process's events and its hybrid clock.

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

/// How many events a process keeps.
const KEPT: usize = 20_000;

struct Inner {
    clock: Clock,
    ring: Ring,
}

/// This process's events; clones share them.
#[derive(Clone)]
pub(crate) struct Timeline {
    host: Arc<str>,
    inner: Arc<Mutex<Inner>>,
}

impl Timeline {
    pub(crate) fn new(host: &str) -> Self {
        let inner = Inner {
            clock: Clock::default(),
            ring: Ring::new(KEPT),
        };
        Self {
            host: host.into(),
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Keeps `line`, and writes it to the log.
    pub(crate) fn note(&self, mut line: Line) {
        let mut inner = self.lock();
        line.stamp = inner.clock.now(wall());
        self.host.as_ref().clone_into(&mut line.host);
        log::info!(target: "event", "{line}");
        inner.ring.push(line);
    }

    /// The next moment of the hybrid clock.
    pub(crate) fn stamp(&self) -> Stamp {
        self.lock().clock.now(wall())
    }

    /// Takes note of another process's moment.
    pub(crate) fn meet(&self, other: Stamp) {
        self.lock().clock.observe(other);
    }

    /// The events that pass `filter`.
    pub(crate) fn select(&self, filter: &Filter) -> Vec<Line> {
        self.lock().ring.select(filter)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Milliseconds since 1970; only for people to read, never to decide by.
fn wall() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

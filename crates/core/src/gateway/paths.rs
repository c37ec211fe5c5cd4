//! The paths from one host to backend servers.
//!
//! Load pattern: some hosts lose their links to servers while callers, the hub and the other hosts still reach them. What
//! such a host finds is evidence about its own path. Counted as evidence about the server, it kept the other hosts away
//! from servers that they reached.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Instant;

/// Interval at which a lost path is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// How long the result of a connection is remembered.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// How many paths are remembered at most, some 60 bytes each.
const MAX_PATHS: usize = 4_096;

/// The path to one server.
#[derive(Clone, Copy, Debug)]
struct Path {
    /// When a connection last showed its state.
    seen_at: Instant,
    /// When it is to be probed, if it is lost.
    probe_at: Option<Instant>,
}

impl Path {
    fn is_lost(self) -> bool {
        self.probe_at.is_some()
    }
}

/// Which backend servers a host can connect to by itself.
///
/// # Examples
///
/// ```
/// use curlewlift_core::clock::Instant;
/// use curlewlift_core::gateway::Paths;
/// let now = Instant::default();
/// let (near, far) = ("10.0.0.1:80".parse()?, "10.0.0.2:80".parse()?);
/// let mut paths = Paths::default();
/// paths.record_reached(near, now);
/// paths.record_lost(far, now);
/// assert!(paths.is_lost(far));
/// assert!(!paths.is_isolated());
/// assert_eq!(paths.last_reached(far), Some(near));
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Paths {
    by_server: HashMap<SocketAddr, Path>,
    /// How many of them are lost.
    lost: usize,
}

impl Paths {
    /// Records that a connection to a server was established. Returns whether its path was lost before.
    pub fn record_reached(&mut self, server: SocketAddr, now: Instant) -> bool {
        self.record(server, None, now).is_some_and(Path::is_lost)
    }

    /// Records that a server cannot be reached, although it may be sound. Returns whether its path was usable before.
    pub fn record_lost(&mut self, server: SocketAddr, now: Instant) -> bool {
        let former = self.record(server, Some(now + PROBE_INTERVAL), now);
        former.is_none_or(|former| !former.is_lost())
    }

    /// Records that a server itself accepts no connections, which tells nothing of its path.
    pub fn record_down(&mut self, server: SocketAddr) {
        self.remove(server);
    }

    fn remove(&mut self, server: SocketAddr) {
        let removed = self.by_server.remove(&server);
        self.lost -= usize::from(removed.is_some_and(Path::is_lost));
    }

    fn record(
        &mut self,
        server: SocketAddr,
        probe_at: Option<Instant>,
        now: Instant,
    ) -> Option<Path> {
        if self.by_server.len() >= MAX_PATHS && !self.by_server.contains_key(&server) {
            let oldest = self.by_server.iter().min_by_key(|(_, path)| path.seen_at);
            if let Some(oldest) = oldest.map(|(server, _)| *server) {
                self.remove(oldest);
            }
        }
        let path = Path {
            seen_at: now,
            probe_at,
        };
        let former = self.by_server.insert(server, path);
        self.lost += usize::from(path.is_lost());
        self.lost -= usize::from(former.is_some_and(Path::is_lost));
        former
    }

    /// Whether the path to a server is lost.
    #[must_use]
    pub fn is_lost(&self, server: SocketAddr) -> bool {
        let path = self.by_server.get(&server);
        path.is_some_and(|path| path.is_lost())
    }

    /// Whether more paths are lost than usable.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.lost * 2 > self.by_server.len()
    }

    /// The server other than `except` that a connection reached last, if its path was not lost since.
    #[must_use]
    pub fn last_reached(&self, except: SocketAddr) -> Option<SocketAddr> {
        let others = self.by_server.iter();
        let others = others.filter(|(server, path)| **server != except && !path.is_lost());
        let latest = others.max_by_key(|(_, path)| path.seen_at);
        latest.map(|(server, _)| *server)
    }

    /// The lost paths to probe now, at most `max` of them, those that have waited longest first.
    pub fn take_probes(&mut self, max: usize, now: Instant) -> Vec<SocketAddr> {
        self.by_server
            .retain(|_, path| now.since(path.seen_at) < FORGET_AFTER);
        let paths = self.by_server.values();
        self.lost = paths.filter(|path| path.is_lost()).count();
        let due = self.by_server.iter_mut();
        let due = due.filter_map(|(server, path)| Some((path.probe_at?, *server, path)));
        let mut due: Vec<_> = due.filter(|(probe_at, ..)| *probe_at <= now).collect();
        due.sort_by_key(|(probe_at, server, _)| (*probe_at, *server));
        due.truncate(max);
        let probed = due.into_iter().map(|(_, server, path)| {
            path.probe_at = Some(now + PROBE_INTERVAL);
            server
        });
        probed.collect()
    }
}

//! What a gateway knows of servers that have announced a limit.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::id;

use super::Limit;
use super::Report;

/// How long a rejection counts: the second for which the limit is stated, and a tenth for clocks that differ.
pub(super) const WINDOW: Duration = Duration::from_millis(1_100);

/// How long a limit counts that no further response has announced.
const LIMIT_PERIOD: Duration = Duration::from_mins(1);

/// How long a gateway reports that a server no longer announces a limit.
const WITHDRAWN_PERIOD: Duration = Duration::from_secs(5);

/// How many servers are remembered at most, some 100 bytes each.
const MAX_SERVERS: usize = 4_096;

/// One server.
#[derive(Clone, Debug)]
struct Server {
    service: id::Service,
    limit: Option<Limit>,
    heard_at: Instant,
    /// The times of its recent rejections.
    rejections: VecDeque<Instant>,
}

/// The limits that servers have announced to a gateway, and their recent rejections of its requests.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use curlewlift_core::clock::Instant;
/// use curlewlift_core::rejection::Limit;
/// use curlewlift_core::rejection::Tracker;
/// let (now, service) = (Instant::default(), "chat".parse()?);
/// let mut tracker = Tracker::default();
/// tracker.record_response(&service, &"i-1".into(), Some(Limit(4)), now);
/// tracker.record_rejection("i-1", now);
/// assert!(tracker.is_limited(&service));
/// let reports = tracker.reports(|_| 2, now);
/// assert_eq!((reports[0].begun, reports[0].rejected), (2, 1));
/// let reports = tracker.reports(|_| 2, now + Duration::from_secs(2));
/// assert_eq!(reports[0].rejected, 0);
/// # Ok::<(), curlewlift_core::id::InvalidName>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    by_incarnation: HashMap<Arc<str>, Server>,
}

impl Tracker {
    /// Records the limit that a response of a server announces, if it announces one. Returns whether it is another one than
    /// before.
    pub fn record_response(
        &mut self,
        service: &id::Service,
        incarnation: &Arc<str>,
        limit: Option<Limit>,
        now: Instant,
    ) -> bool {
        let former = self.by_incarnation.get(incarnation);
        let former = former.and_then(|server| server.limit);
        if let Some(server) = self.by_incarnation.get_mut(incarnation) {
            if limit.is_some() || former.is_some() {
                (server.limit, server.heard_at) = (limit, now);
            }
        } else if limit.is_some() && self.by_incarnation.len() < MAX_SERVERS {
            let server = Server {
                service: service.clone(),
                limit,
                heard_at: now,
                rejections: VecDeque::new(),
            };
            self.by_incarnation.insert(Arc::clone(incarnation), server);
        }
        limit != former
    }

    /// Records that a server has rejected a request, or may have.
    pub fn record_rejection(&mut self, incarnation: &str, now: Instant) {
        if let Some(server) = self.by_incarnation.get_mut(incarnation) {
            server.rejections.push_back(now);
            expire(&mut server.rejections, now);
        }
    }

    /// Whether a server of a service has announced a limit.
    #[must_use]
    pub fn is_limited(&self, service: &id::Service) -> bool {
        let mut servers = self.by_incarnation.values();
        servers.any(|server| server.service == *service && server.limit.is_some())
    }

    /// Returns the reports on all servers; `begun` says how many requests in flight an incarnation has begun.
    pub fn reports(&mut self, begun: impl Fn(&Report) -> u32, now: Instant) -> Vec<Report> {
        self.by_incarnation.retain(|_, server| {
            let period = if server.limit.is_some() {
                LIMIT_PERIOD
            } else {
                WITHDRAWN_PERIOD
            };
            now.since(server.heard_at) < period
        });
        let servers = self.by_incarnation.iter_mut();
        let reports = servers.map(|(incarnation, server)| {
            expire(&mut server.rejections, now);
            let mut report = Report {
                service: server.service.clone(),
                incarnation: Arc::clone(incarnation),
                limit: server.limit,
                age: now.since(server.heard_at),
                begun: 0,
                rejected: u32::try_from(server.rejections.len()).unwrap_or(u32::MAX),
            };
            report.begun = begun(&report);
            report
        });
        reports.collect()
    }
}

fn expire(rejections: &mut VecDeque<Instant>, now: Instant) {
    while rejections
        .pop_front_if(|at| now.since(*at) >= WINDOW)
        .is_some()
    {}
}

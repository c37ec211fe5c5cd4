//! Decides how many requests a server may have in flight beyond its slots.
//!
//! The hub counts a slot as taken from the grant until the report of the end. Beside the work at the server, this
//! includes the overhead of the grant and the report on their way. While these travel, other requests must be at the
//! server to keep its slots busy. The overhead is measured for all servers of a service together, as it depends on the
//! gateways; the work is measured for each server.
//!
//! State is one [`Service`] for each pool and one [`Limit`] for each server. Both are lost with the hub.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::gateway::AttemptEnd;

use super::AttemptOutcome;
use super::Pool;
use super::Request;

/// Requests that the mean overhead covers. Reports take between 15 and 250 ms: the mean of 32 is off by a fifteenth, and
/// a single overhead of [`MAX_OVERHEAD`] changes it by a fifth.
const OVERHEAD_SAMPLES: u32 = 128;

/// Requests that the mean work of a server covers. With 16, the limit follows each burst, and more than 0.15 of the slots
/// are idle while requests are rejected.
const WORK_SAMPLES: u32 = 64;

/// The longest overhead, which a suspended gateway or a lost report exceeds.
const MAX_OVERHEAD: Duration = Duration::from_secs(1);

/// Requests beyond the slots, relative to the number that keeps the slots busy if all overheads are equal. Overheads
/// differ, and the time at a server includes network transit, so more ends are in transit at times.
const OVERHEAD_MARGIN: f64 = 1.4;

/// The share of the objective within which a server must be able to begin the requests that it gets. The rest covers the
/// wait at the hub and the transit.
const OBJECTIVE_SHARE: f64 = 0.33;

/// How much faster than measured a server may work off what it gets: the measured time includes network transit. This does
/// not count while more requests wait there than it has slots, as its queue would become longer and longer.
const SPEED_MARGIN: f64 = 1.15;

/// The most requests beyond the slots of a server, for each slot: an overhead of ten times the work needs 14.
const MAX_EXTRA_PER_SLOT: f64 = 16.0;

/// The shortest time between two reductions because a server was full: servers reject several requests of a burst.
const MIN_CUT_INTERVAL: Duration = Duration::from_millis(100);

/// How much a response of a server without waiting requests raises a limit that was halved because the server was full.
/// With a quarter of that, half as many requests again were rejected after others had filled the server.
const RAISE_PER_END: f64 = 1.0;

/// After this many responses in a row for which the server took less than [`SHORTER_WORK_RATIO`] of the mean, work has become
/// shorter, and the former work no longer counts.
const MIN_SHORTER_RESPONSES: u32 = 3;

/// See [`MIN_SHORTER_RESPONSES`]. Work that differs less is followed by the mean soon enough.
const SHORTER_WORK_RATIO: f64 = 0.25;

/// How long a new hub rejects no request by the rate at which slots became free: reports take up to 250 ms.
const NEW_HUB_PERIOD: Duration = Duration::from_millis(300);

/// The length of the windows of [`RecentMin`].
const MIN_WINDOW_LENGTH: Duration = Duration::from_secs(1);

/// A moving mean over about `SAMPLES` samples, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Mean<const SAMPLES: u32> {
    mean: f64,
    count: u32,
}

impl<const SAMPLES: u32> Mean<SAMPLES> {
    fn add(&mut self, sample: f64) {
        self.count = (self.count + 1).min(SAMPLES);
        self.mean += (sample - self.mean) / f64::from(self.count);
    }

    fn get(&self) -> Option<f64> {
        (self.count > 0).then_some(self.mean)
    }
}

/// The smallest sample of the current and the former window, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct RecentMin {
    former: Option<f64>,
    current: Option<f64>,
    since: Instant,
}

impl RecentMin {
    fn add(&mut self, sample: f64, now: Instant) {
        if now.since(self.since) >= MIN_WINDOW_LENGTH {
            self.former = self.current.take();
            self.since = now;
        }
        self.current = Some(self.current.map_or(sample, |least| least.min(sample)));
    }

    fn get(&self) -> Option<f64> {
        match (self.former, self.current) {
            (Some(former), Some(current)) => Some(former.min(current)),
            (former, current) => former.or(current),
        }
    }
}

/// What is measured for all servers of a service together.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Service {
    /// From the grant to the report of the end, less the time at the server.
    overhead: Mean<OVERHEAD_SAMPLES>,
    /// The shortest latency objective of recent requests.
    objective: RecentMin,
    /// When the first request arrived.
    started: Option<Instant>,
}

impl Service {
    /// Records the objective of a request that arrives at the queue.
    pub(super) fn record_request(&mut self, request: &Request, now: Instant) {
        // A caller that returns early is queued by a later arrival.
        let arrived = request.arrived.min(now);
        let objective = request.begin_by.since(arrived);
        self.objective.add(objective.as_secs_f64(), now);
        self.started.get_or_insert(now);
    }

    /// Records the end of a request whose slot was taken for `held`.
    fn record_end(&mut self, held: Duration, server_time: Duration) {
        let overhead = held.saturating_sub(server_time).min(MAX_OVERHEAD);
        self.overhead.add(overhead.as_secs_f64());
    }

    /// Whether the first requests arrived so recently that the rate at which slots become free is not known.
    pub(super) fn is_new(&self, now: Instant) -> bool {
        let is_recent = |started| now.since(started) < NEW_HUB_PERIOD;
        self.started.is_some_and(is_recent)
    }
}

/// What determines a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reason {
    /// Nothing is measured yet.
    #[default]
    Unmeasured,
    /// The slots are kept busy while grants and reports travel.
    Overhead,
    /// The server reported that requests wait.
    Waiting,
    /// The server rejected requests because it was full.
    Full,
    /// The constant bound.
    Maximum,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Self; 5] = [
        Self::Unmeasured,
        Self::Overhead,
        Self::Waiting,
        Self::Full,
        Self::Maximum,
    ];

    /// The name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unmeasured => "unmeasured",
            Self::Overhead => "overhead",
            Self::Waiting => "waiting",
            Self::Full => "full",
            Self::Maximum => "maximum",
        }
    }
}

/// How many requests a server may have in flight, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InFlightLimit {
    /// The incarnation of the server.
    pub incarnation: Arc<str>,
    /// Its slots.
    pub slots: u32,
    /// The requests that may be in flight.
    pub limit: u32,
    /// Why.
    pub reason: Reason,
}

impl InFlightLimit {
    /// Whether operators should know of the change from `former`: to another reason, or by half.
    #[must_use]
    pub fn is_notable_after(&self, former: &Self) -> bool {
        let (low, high) = (self.limit.min(former.limit), self.limit.max(former.limit));
        self.reason != former.reason || low < high / 2
    }
}

/// How many requests a server may have in flight, and what that follows from.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Limit {
    /// The time at the server without queueing.
    work: Mean<WORK_SAMPLES>,
    /// The time at the server without queueing of the last request.
    last_work: f64,
    /// The shortest recent time at the server.
    least_time: RecentMin,
    /// How many of the last responses in a row took much less than the mean.
    shorter_ends: u32,
    /// The requests that are at the server if it works as fast as measured, and since when.
    present: (f64, Instant),
    /// The waiting requests that the server last reported.
    waiting: u32,
    /// The most requests beyond the slots, after the server was full.
    cap: Option<f64>,
    cut_at: Option<Instant>,
    /// How many requests may wait at the server.
    allowed_waiting: f64,
    /// The decided number of requests beyond the slots, before those that wait are deducted.
    extra: u32,
    /// The decided number of requests in flight, and its reason; `None` before a decision.
    decided: Option<(u32, Reason)>,
}

impl Limit {
    /// The requests that may be in flight; `unmeasured` before anything is measured.
    pub(super) fn get(&self, unmeasured: u32) -> u32 {
        self.decided.map_or(unmeasured, |(limit, _)| limit)
    }

    /// Why [`Limit::get`] is as it is.
    pub(super) fn reason(&self) -> Reason {
        self.decided
            .map_or(Reason::Unmeasured, |(_, reason)| reason)
    }

    /// Counts a request that is sent to the server, which has `in_flight` others.
    pub(super) fn record_start(&mut self, in_flight: u32, slots: u32, now: Instant) {
        self.present = (self.present_at(in_flight, slots, now) + 1.0, now);
    }

    /// The requests of `in_flight` that are at the server at `now` if it works as fast as measured.
    fn present_at(&self, in_flight: u32, slots: u32, now: Instant) -> f64 {
        let (present, since) = self.present;
        let elapsed = now.since(since).as_secs_f64();
        let pace = if self.waiting > slots {
            1.0
        } else {
            SPEED_MARGIN
        };
        let worked_off = |work| elapsed * f64::from(slots) * pace / work;
        let ended = self.work().map_or(0.0, worked_off);
        (present - ended).clamp(0.0, f64::from(in_flight))
    }

    /// Whether the server, with `in_flight` requests, can begin another one in time. Many ends that are reported at once
    /// would otherwise make it get as many requests at once.
    pub(super) fn admits(&self, in_flight: u32, slots: u32, now: Instant) -> bool {
        let present = self.present_at(in_flight, slots, now);
        self.decided.is_none() || present < f64::from(slots) + self.allowed_waiting
    }

    /// Records the end of an attempt.
    fn record_end(&mut self, end: &AttemptEnd, slots: u32, now: Instant) {
        let is_answered = matches!(end.outcome, AttemptOutcome::Answered { .. });
        let unstated = if is_answered { 0 } else { self.waiting };
        self.waiting = end.load.map_or(unstated, |load| load.waiting);
        match end.outcome {
            AttemptOutcome::Answered { .. } => self.record_answer(end.server_time, slots, now),
            AttemptOutcome::Full | AttemptOutcome::Backoff(_) => self.record_full(now),
            _ => {}
        }
    }

    /// Records the time that the server took for a request that it answered.
    fn record_answer(&mut self, server_time: Duration, slots: u32, now: Instant) {
        let time = server_time.as_secs_f64();
        // By Little's law, the share of the time at the server that is work equals the share of the requests there that
        // run. While requests wait, all slots run.
        let (slots, queued) = (f64::from(slots), f64::from(self.waiting));
        let is_shorter = self
            .work
            .get()
            .is_some_and(|work| time < work * SHORTER_WORK_RATIO);
        self.shorter_ends = if is_shorter { self.shorter_ends + 1 } else { 0 };
        if self.shorter_ends >= MIN_SHORTER_RESPONSES {
            self.work = Mean::default();
        }
        self.last_work = time * slots / (slots + queued);
        self.work.add(self.last_work);
        self.least_time.add(time, now);
        if self.waiting == 0 {
            let raised = self.cap.map(|cap| cap + RAISE_PER_END);
            self.cap = raised.filter(|cap| *cap < slots * MAX_EXTRA_PER_SLOT);
        }
    }

    /// Records that the server rejected a request because it was full.
    fn record_full(&mut self, now: Instant) {
        let since_cut = self.cut_at.map(|cut_at| now.since(cut_at));
        if since_cut.is_none_or(|since| since >= MIN_CUT_INTERVAL) {
            self.cut_at = Some(now);
            self.cap = Some((f64::from(self.extra) / 2.0).max(1.0));
        }
    }

    /// The time at the server without queueing, in seconds. The mean is too short in a burst, when those that end first
    /// leave a queue behind.
    fn work(&self) -> Option<f64> {
        let work = self.work.get()?;
        let work = work.max(self.least_time.get().unwrap_or(0.0));
        (work > 0.0).then_some(work)
    }

    /// Decides the limit; nothing changes before there are measurements. `unmeasured` is the number of requests beyond
    /// the slots before that, and the lowest number afterwards.
    pub(super) fn decide(&mut self, service: &Service, slots: u32, unmeasured: u32) {
        let (Some(work), Some(overhead)) = (self.work(), service.overhead.get()) else {
            return;
        };
        let slot_count = f64::from(slots);
        let objective = service.objective.get().unwrap_or(0.0);
        let allowed_waiting = slot_count * objective * OBJECTIVE_SHARE / work;
        self.allowed_waiting = allowed_waiting.max(f64::from(unmeasured));
        let (extra, reason) = least([
            (
                slot_count * overhead * OVERHEAD_MARGIN / work,
                Reason::Overhead,
            ),
            (self.cap.unwrap_or(f64::INFINITY), Reason::Full),
            (slot_count * MAX_EXTRA_PER_SLOT, Reason::Maximum),
        ]);
        self.extra = whole(extra).max(unmeasured);
        // The mean follows work that becomes longer only after the requests that wait.
        let wait = f64::from(self.waiting) * work.max(self.last_work) / slot_count;
        let excess = self.waiting.saturating_sub(whole(self.allowed_waiting));
        self.decided = Some(if self.waiting > unmeasured && wait > objective {
            // If none is in flight there, one request shows when the queue is shorter.
            (1, Reason::Waiting)
        } else if excess > 0 {
            let limit = (slots + self.extra).saturating_sub(excess);
            (limit.max(1), Reason::Waiting)
        } else {
            (slots + self.extra, reason)
        });
    }
}

/// The bound with the lowest number of requests.
fn least(bounds: [(f64, Reason); 3]) -> (f64, Reason) {
    let lower = |least: (f64, Reason), bound: (f64, Reason)| {
        if bound.0 < least.0 { bound } else { least }
    };
    let [first, others @ ..] = bounds;
    others.into_iter().fold(first, lower)
}

/// The whole number of requests.
fn whole(requests: f64) -> u32 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = requests as u32;
    whole
}

/// # Requests in flight
impl Pool {
    /// Records what the end of an attempt tells about the limit of its server. `held` is the time for which its slot was
    /// taken, if this hub granted it.
    pub fn measure_end(&mut self, end: &AttemptEnd, held: Option<Duration>, now: Instant) {
        let Some(service) = self.servers.in_flight_mut() else {
            return;
        };
        let is_answered = matches!(end.outcome, AttemptOutcome::Answered { .. });
        if let Some(held) = held.filter(|_| is_answered) {
            service.record_end(held, end.server_time);
        }
        self.servers.update(&end.incarnation, |state| {
            let slots = state.server.slots.max(1);
            state.limit.record_end(end, slots, now);
        });
        self.servers.decide_limit(&end.incarnation);
    }

    /// The limit of each server; nothing if limits are not measured.
    pub fn in_flight_limits(&self) -> impl Iterator<Item = InFlightLimit> {
        self.servers.limits()
    }
}

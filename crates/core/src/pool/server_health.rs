//! Decides from recent outcomes whether a backend server may be sent a request.

use std::time::Duration;

use crate::clock::Instant;

/// How long a server is avoided after its first break or timeout; the time doubles with each further one in a row.
const MIN_BREAK_AVOIDANCE: Duration = Duration::from_millis(400);

/// The longest time that a broken server is avoided. Afterwards one request probes it.
const MAX_BREAK_AVOIDANCE: Duration = Duration::from_secs(5);

/// How long a server without room is avoided: about the time that a fast engine takes for a few requests.
const FULL_AVOIDANCE: Duration = Duration::from_millis(120);

/// The most breaks in a row after which a server is still used if all servers are suspect.
const MAX_BREAKS_AS_LAST_RESORT: u32 = 2;

/// The weight of one response in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;

/// The failures of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerHealth {
    breaks_in_a_row: u32,
    avoid_until: Option<Instant>,
    failure_rate: f64,
    /// Whether it asked any host for a backoff and has not answered a request since.
    is_recovering: bool,
}

impl ServerHealth {
    /// Records a response.
    pub fn record_response(&mut self) {
        self.breaks_in_a_row = 0;
        self.is_recovering = false;
        self.avoid_until = None;
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
    }

    /// Records a response that reports an error.
    pub fn record_failure(&mut self) {
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_WEIGHT;
    }

    /// Records that it closed the connection early, timed out, or could not be reached.
    pub fn record_break(&mut self, now: Instant) {
        self.record_failure();
        self.breaks_in_a_row = self.breaks_in_a_row.saturating_add(1);
        let doubled = MIN_BREAK_AVOIDANCE * 2_u32.saturating_pow(self.breaks_in_a_row.min(8) - 1);
        self.avoid_until = Some(now + doubled.min(MAX_BREAK_AVOIDANCE));
    }

    /// Forgets breaks that were not its fault.
    pub fn forgive_breaks(&mut self) {
        if self.breaks_in_a_row > 0 {
            self.record_response();
        }
    }

    /// Records that it has no room.
    pub fn record_full(&mut self, now: Instant) {
        self.avoid_until = Some(now + FULL_AVOIDANCE);
    }

    /// Records that it asked a host for a backoff.
    pub fn record_backoff(&mut self, now: Instant) {
        self.record_full(now);
        self.is_recovering = true;
    }

    /// Records that it is assigned a request. After a backoff it gets requests one by one until it has answered one.
    /// When its room was filled at once, five to eight of the queued requests reached it within 0.1 s of the end of its
    /// backoff and were rejected again; one by one it is two or three.
    pub fn record_assignment(&mut self, now: Instant) {
        if self.is_recovering {
            let next = now + FULL_AVOIDANCE;
            self.avoid_until = Some(self.avoid_until.map_or(next, |until| until.max(next)));
        }
    }

    /// Whether it should be avoided at `now`.
    #[must_use]
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    /// For how much longer it should be avoided.
    #[must_use]
    pub fn avoid_for(&self, now: Instant) -> Duration {
        self.avoid_until
            .map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Whether it may be sent a request at `now`. If all servers are suspect, one or two breaks do not distinguish
    /// them, and trying one is better than rejecting the request.
    #[must_use]
    pub fn is_usable(&self, all_suspect: bool, now: Instant) -> bool {
        !self.is_suspect(now)
            || (all_suspect && (1..=MAX_BREAKS_AS_LAST_RESORT).contains(&self.breaks_in_a_row))
    }

    /// A coarse grade of its failure rate, from 0 (best) to 4.
    pub(super) fn failure_grade(&self) -> u8 {
        match self.failure_rate {
            rate if rate < 0.05 => 0,
            rate if rate < 0.15 => 1,
            rate if rate < 0.35 => 2,
            rate if rate < 0.6 => 3,
            _ => 4,
        }
    }

    /// The decaying share of its responses that failed, 0 to 1.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
